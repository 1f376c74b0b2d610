package serve

import (
	"context"
	"errors"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
	"endiveroute.example/endive/client"
	"endiveroute.example/endive/setup"
)

// liveServer serves a fixture on a TCP listener.
type liveServer struct {
	fixture
	http     *http.Server
	listener net.Listener
	ended    chan struct{}
}

func newLiveServer(t *testing.T) *liveServer {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &liveServer{fixture: newFixture(setup.Limits{}), ended: make(chan struct{})}
	s.listener = NewListener(listener, 16)
	s.http = HTTPServer(s.OperatorHandler())
	go s.run()
	t.Cleanup(s.close)
	return s
}

func (s *liveServer) run() {
	defer close(s.ended)
	_ = s.http.Serve(s.listener)
}

func (s *liveServer) close() {
	_ = s.http.Close()
	<-s.ended
}

func (s *liveServer) client(t *testing.T) *client.Client {
	c := client.New(endive.SystemClock{}, endive.Address(s.listener.Addr().String()))
	t.Cleanup(c.Close)
	return c
}

// TestClientAndHandlersAgree checks that package client and the handlers encode
// and decode each call in the same way.
func TestClientAndHandlersAgree(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	s := newLiveServer(t)
	c := s.client(t)
	s.backend.state = apiv1.TicketInForce
	s.backend.answer = apiv1.Answer{Outcome: endive.Answered, Request: "r", Status: 418, Body: []byte("cut"), Repeated: true}
	answer, err := c.SendRequest(ctx, apiv1.Request{Service: "cut", Key: "k%1", NonIdempotent: true})
	is.NoErr(err)
	is.Equal(answer, s.backend.answer)
	s.backend.answer = apiv1.Answer{Outcome: endive.NotRun, Refusal: apiv1.RefusalBusy, RetryAfter: endive.Interval(2 * time.Second)}
	answer, err = c.SendRequest(ctx, apiv1.Request{Service: "cut"})
	is.True(err != nil)
	is.Equal(answer.RetryAfter, s.backend.answer.RetryAfter)
	is.Equal(answer.Refusal, apiv1.RefusalBusy)
	recorded, err := c.Outcome(ctx, "cut", "k%1")
	is.NoErr(err)
	is.Equal(recorded, apiv1.RecordedOutcome{Service: "cut", Key: "k%1", Outcome: endive.Answered, Status: 200, Body: []byte("cut")})
	status, err := c.Apply(ctx, endive.Ticket{Number: 3, Teams: endive.Teams{{Name: "cutters"}}}, time.Now().Add(time.Minute))
	is.NoErr(err)
	is.Equal(status, apiv1.TicketStatus{Number: 3, State: apiv1.TicketInForce})
	_, err = c.Ticket(ctx, 3)
	is.NoErr(err)
	_, err = c.Config(ctx)
	is.NoErr(err)
	job := endive.Job{Name: "cut", Team: "cutters", Pool: "planner", Need: endive.Resources{Memory: 1}, Key: "k"}
	job.Defaults()
	submitted, err := c.Submit(ctx, job)
	is.NoErr(err)
	is.Equal(submitted.Job, job)
	_, err = c.Job(ctx, "a/b")
	is.NoErr(err)
	_, err = c.Jobs(ctx, apiv1.JobQuery{Team: "cutters", Name: "cut", State: apiv1.JobParked, After: "j&1", Limit: 3})
	is.NoErr(err)
	_, err = c.Cancel(ctx, apiv1.Cancellation{Job: "a/b"})
	is.NoErr(err)
	is.Equal(s.backend.received[len(s.backend.received)-3:], []any{
		endive.JobID("a/b"), apiv1.JobQuery{Team: "cutters", Name: "cut", State: apiv1.JobParked, After: "j&1", Limit: 3}, apiv1.Cancellation{Job: "a/b"},
	})
	s.backend.err = endive.ErrConflict.Wrap(apiv1.Conflicts{{Resource: "teams/cutters", Ticket: 9}})
	_, err = c.Apply(ctx, endive.Ticket{Number: 3, Teams: endive.Teams{{Name: "cutters"}}}, time.Now().Add(time.Minute))
	var failed *apiv1.Error
	is.True(errors.As(err, &failed))
	is.Equal(failed.Conflicts, apiv1.Conflicts{{Resource: "teams/cutters", Ticket: 9}})
}

// TestGracefulStop checks that a stop refuses new requests and lets those in
// flight finish.
func TestGracefulStop(t *testing.T) {
	is := is.New(t)
	s := newLiveServer(t)
	c := s.client(t)
	s.backend.answer = apiv1.Answer{Outcome: endive.Answered, Status: 200, Body: []byte("whole")}
	stop := &shutdown{server: s, ended: make(chan error, 1)}
	s.backend.duringCall = func() {
		// The request is in flight now.
		s.Gate.Set(PhaseStopping)
		is.Equal(s.do(testCall{"POST", "/v1/services/cut/requests", "", nil}).Code, 503)
		go stop.run()
		// The listener is closed when the shutdown begins.
		<-s.ended
	}
	answer, err := c.SendRequest(context.Background(), apiv1.Request{Service: "cut"})
	is.NoErr(err)
	is.Equal(string(answer.Body), "whole")
	is.NoErr(<-stop.ended)
}

// shutdown runs the graceful shutdown of a liveServer.
type shutdown struct {
	server *liveServer
	ended  chan error
}

func (s *shutdown) run() { s.ended <- s.server.http.Shutdown(context.Background()) }

// TestLongHeaders checks that headers over the size limit are refused.
func TestLongHeaders(t *testing.T) {
	is := is.New(t)
	s := newLiveServer(t)
	request, err := http.NewRequest("GET", "http://"+s.listener.Addr().String()+"/v1/entries", nil)
	is.NoErr(err)
	request.Header.Set("X-Long", strings.Repeat("x", 2*int(apiv1.MaxHeaders)))
	response, err := http.DefaultClient.Do(request)
	is.NoErr(err)
	is.NoErr(response.Body.Close())
	is.Equal(response.StatusCode, http.StatusRequestHeaderFieldsTooLarge)
	is.Equal(len(s.backend.received), 0)
}
