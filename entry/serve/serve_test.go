package serve

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
	"endiveroute.example/endive/setup"
)

// brokenReader is a request body whose connection breaks before the end.
type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

func newRecorder() *httptest.ResponseRecorder { return httptest.NewRecorder() }

func TestAnswers(t *testing.T) {
	second := endive.Interval(time.Second)
	tests := []struct {
		name              string
		answer            apiv1.Answer
		status            int
		outcome, retry    string
		code              apiv1.ErrorCode
		body, wantMessage string
	}{
		{"answered", apiv1.Answer{Outcome: endive.Answered, Status: 200, Body: []byte("quote")}, 200, "answered", "", "", "quote", ""},
		{"executor's error", apiv1.Answer{Outcome: endive.Answered, Status: 503, Body: []byte("no cloth")}, 503, "answered", "", "", "no cloth", ""},
		{"bad status", apiv1.Answer{Outcome: endive.Answered, Status: 42}, 502, "answered", "", "", "", ""},
		{"busy", apiv1.Answer{Outcome: endive.NotRun, Refusal: apiv1.RefusalBusy, RetryAfter: second + 1, Reason: "queue is full"}, 429, "notRun", "2", apiv1.CodeBusy, "", "the request was not run: queue is full"},
		{"unavailable", apiv1.Answer{Outcome: endive.NotRun, Reason: "store is down"}, 503, "notRun", "1", apiv1.CodeUnavailable, "", "the request was not run: store is down"},
		{"service", apiv1.Answer{Outcome: endive.NotRun, Refusal: apiv1.RefusalUnknownService}, 404, "notRun", "", apiv1.CodeNotFound, "", "the request was not run: "},
		{"key", apiv1.Answer{Outcome: endive.NotRun, Refusal: apiv1.RefusalKeyConflict}, 409, "notRun", "", apiv1.CodeConflict, "", "the request was not run: "},
		{"keyless", apiv1.Answer{Outcome: endive.NotRun, Refusal: apiv1.RefusalMissingKey}, 400, "notRun", "", apiv1.CodeInvalid, "", "the request was not run: "},
		{"unknown", apiv1.Answer{Outcome: endive.Unknown, Reason: "connection broke"}, 502, "unknown", "", apiv1.CodeUnknown, "", "an executor may have run the request: connection broke"},
		{"timed out", apiv1.Answer{Outcome: endive.Unknown, TimedOut: true}, 504, "unknown", "", apiv1.CodeUnknown, "", "an executor may have run the request: "},
		{"no outcome", apiv1.Answer{}, 502, "unknown", "", apiv1.CodeUnknown, "", "an executor may have run the request: "},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(setup.Limits{})
			f.backend.answer = tt.answer
			f.backend.answer.Request = "r"
			w := f.do(testCall{"POST", "/v1/services/cut/requests", "panel", []string{"Endive-Timeout", "800ms", "Endive-Key", "k1", "Endive-Non-Idempotent", "true"}})
			is.Equal(f.backend.received, []any{apiv1.Request{
				ID: "entry-1.a.1", Service: "cut", Key: "k1", NonIdempotent: true,
				Deadline: f.clock.Now().Add(800 * time.Millisecond), Body: []byte("panel"),
			}})
			is.Equal(w.Code, tt.status)
			is.Equal(w.Header().Get(apiv1.HeaderOutcome), tt.outcome)
			is.Equal(w.Header().Get(apiv1.HeaderRetryAfter), tt.retry)
			is.Equal(w.Header().Get(apiv1.HeaderRequest), "r")
			if tt.code == "" {
				is.Equal(w.Body.String(), tt.body)
				return
			}
			var failed apiv1.Error
			is.NoErr(json.Unmarshal(w.Body.Bytes(), &failed))
			is.Equal(failed.Code, tt.code)
			is.Equal(failed.Message, tt.wantMessage)
			is.Equal(string(failed.Outcome), tt.outcome)
			is.Equal(len(failed.Findings) > 0, tt.code == apiv1.CodeInvalid)
		})
	}
}

func TestBackendErrors(t *testing.T) {
	tests := []struct {
		name, method string
		err          error
		status       int
	}{
		{"invalid", "POST", endive.ErrInvalid.Wrap(endive.Findings{{Path: "a", Reason: "b"}}), 400},
		{"conflict", "POST", endive.ErrConflict.Wrap(apiv1.Conflicts{{Resource: "services/cut", Ticket: 9}}), 409},
		{"same number", "POST", endive.ErrConflict.New("ticket 9 has other content"), 409},
		{"refused", "POST", &apiv1.Error{Code: apiv1.CodeRefused}, 422},
		{"unavailable", "POST", endive.ErrUnavailable.New("store"), 503},
		{"unknown", "POST", endive.ErrUnknown.New("store"), 504},
		{"write timed out", "POST", context.DeadlineExceeded, 504},
		{"read cancelled", "GET", context.Canceled, 503},
		{"not found", "GET", endive.ErrNotFound.New("job"), 404},
		{"fault", "GET", errors.New("a secret"), 500},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(setup.Limits{})
			f.backend.err = tt.err
			call := testCall{tt.method, "/v1/jobs/j1", "", nil}
			if tt.method == "POST" {
				call = testCall{tt.method, "/v1/tickets", `{"number":9,"teams":[{"name":"cutters"}]}`, nil}
			}
			w := f.do(call)
			is.Equal(w.Code, tt.status)
			is.True(!strings.Contains(w.Body.String(), "secret"))
			is.Equal(w.Header().Get(apiv1.HeaderRetryAfter) != "", tt.status == 503 || tt.status == 504)
		})
	}
}

func TestCalls(t *testing.T) {
	tests := []struct {
		call   testCall
		status int
		want   string
	}{
		{testCall{"GET", "/v1/services/cut/outcomes/k1", "", nil}, 200, `{"service":"cut","key":"k1","outcome":"answered","status":200,"body":"Y3V0"}`},
		{testCall{"POST", "/v1/tickets", `{"number":9,"teams":[{"name":"cutters"}]}`, []string{"Endive-Timeout", "3s"}}, 202, `{"number":9,"state":"pending","revision":0,"confirmed":null}`},
		{testCall{"GET", "/v1/tickets/9", "", nil}, 200, `{"number":9,"state":"pending","revision":0,"confirmed":null}`},
		{testCall{"GET", "/v1/config", "", nil}, 200, `{"entry":"entry-1","revision":0,"newest":0,"resources":null}`},
		{testCall{"GET", "/v1/jobs?team=cutters&state=waiting&limit=7", "", nil}, 200, `{"jobs":[]}`},
		{testCall{"POST", "/v1/cancellations", `{"team":"cutters"}`, nil}, 200, `{"jobs":2}`},
		{testCall{"GET", "/v1/entries", "", nil}, 200, `{"entries":null}`},
		{testCall{"GET", "/v1/instances", "", nil}, 200, `{"instances":null}`},
		{testCall{"GET", "/v1/workers", "", nil}, 200, `{"workers":null}`},
		{testCall{"GET", "/v1/slices", "", nil}, 200, `{"slices":null}`},
		{testCall{"GET", "/v1/slots", "", nil}, 200, `{"slots":null}`},
	}
	for _, tt := range tests {
		t.Run(tt.call.method+tt.call.path, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(setup.Limits{})
			f.backend.state = apiv1.TicketPending
			w := f.do(tt.call)
			is.Equal(w.Code, tt.status)
			is.Equal(strings.TrimSpace(w.Body.String()), tt.want)
			is.Equal(len(f.backend.received), 1)
			if tt.status == 202 {
				is.Equal(f.backend.deadline, f.clock.Now().Add(3*time.Second))
			}
		})
	}
}

func TestSubmitFillsInDefaults(t *testing.T) {
	is := is.New(t)
	f := newFixture(setup.Limits{})
	w := f.do(testCall{"POST", "/v1/jobs", `{"name":"cut","team":"cutters","pool":"planner","need":{"processors":500},"key":"k1"}`, nil})
	is.Equal(w.Code, 200)
	is.Equal(f.backend.received, []any{endive.Job{
		Name: "cut", Team: "cutters", Pool: "planner", Kind: endive.KindBatch, Tasks: 1, Need: endive.Resources{Processors: 500},
		RunTime: endive.DefaultRunTime, Attempts: endive.DefaultAttempts, Key: "k1",
	}})
}

// TestPhases checks which calls are accepted in each phase, and the answer to the
// load balancer's readiness check.
func TestPhases(t *testing.T) {
	ask := testCall{"POST", "/v1/services/cut/requests", "", nil}
	tests := []struct {
		phase             Phase
		ready, ask, state int
	}{
		{PhaseStarting, 503, 503, 200},
		{PhaseServing, 200, 200, 200},
		{PhaseLeaving, 503, 200, 200},
		{PhaseStopping, 503, 503, 200},
	}
	for _, tt := range tests {
		t.Run(string(tt.phase), func(t *testing.T) {
			is := is.New(t)
			f := newFixture(setup.Limits{})
			f.backend.answer = apiv1.Answer{Outcome: endive.Answered, Status: 200}
			f.Gate.Set(tt.phase)
			health := newRecorder()
			f.Health(notFoundHandler{}).ServeHTTP(health, httptest.NewRequest("GET", apiv1.PathReady, nil))
			is.Equal(health.Code, tt.ready)
			asked := f.do(ask)
			is.Equal(asked.Code, tt.ask)
			is.Equal(asked.Header().Get("Connection") == "close", tt.phase != PhaseServing)
			is.Equal(asked.Header().Get(apiv1.HeaderOutcome) == "notRun", tt.ask == 503)
			is.Equal(f.do(testCall{"GET", "/v1/entries", "", nil}).Code, tt.state)
		})
	}
}

// TestLimits checks that calls over a limit are refused as not run, and that
// finished calls free their share of the limit.
func TestLimits(t *testing.T) {
	ask := testCall{"POST", "/v1/services/cut/requests", strings.Repeat("x", int(apiv1.MaxBody)), nil}
	for name, limits := range map[string]setup.Limits{
		"requests": {Requests: 1},
		"bodies":   {BodyMemory: apiv1.MaxBody},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFixture(limits)
			f.backend.answer = apiv1.Answer{Outcome: endive.Answered, Status: 200}
			f.backend.duringCall = func() {
				f.backend.duringCall = nil
				w := f.do(ask)
				is.Equal(w.Code, 429)
				is.Equal(w.Header().Get(apiv1.HeaderOutcome), "notRun")
				is.Equal(w.Header().Get(apiv1.HeaderRetryAfter), "1")
			}
			is.Equal(f.do(ask).Code, 200)
			is.Equal(f.do(ask).Code, 200)
			is.Equal(len(f.backend.received), 2)
			is.Equal(f.scope.Snapshot().Counters()["calls+call=POST "+apiv1.PathRequests+",status=429"].Value(), int64(1))
		})
	}
}

// TestListener checks that a connection over the limit is accepted only after
// another is closed.
func TestListener(t *testing.T) {
	is := is.New(t)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	listener := NewListener(inner, 1)
	first, err := net.Dial("tcp", inner.Addr().String())
	is.NoErr(err)
	defer first.Close()
	accepted, err := listener.Accept()
	is.NoErr(err)
	is.Equal(len(listener.slots), cap(listener.slots))
	is.NoErr(accepted.Close())
	_ = accepted.Close()
	is.Equal(len(listener.slots), 0)
	is.NoErr(listener.Close())
	listener.slots <- struct{}{}
	_, err = listener.Accept()
	is.True(errors.Is(err, net.ErrClosed))
}
