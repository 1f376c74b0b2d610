package serve

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"time"

	hclog "github.com/hashicorp/go-hclog"
	tally "github.com/uber-go/tally/v4"

	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
	"endiveroute.example/endive/fakes"
	"endiveroute.example/endive/setup"
)

// fakeBackend records its arguments and returns the results that the test sets.
type fakeBackend struct {
	answer     apiv1.Answer
	state      apiv1.TicketState
	err        error
	received   []any
	duringCall func()
	deadline   time.Time
}

func (b *fakeBackend) call(argument any) error {
	b.received = append(b.received, argument)
	if b.duringCall != nil {
		b.duringCall()
	}
	return b.err
}

func (b *fakeBackend) RunRequest(_ context.Context, request apiv1.Request) apiv1.Answer {
	_ = b.call(request)
	return b.answer
}

func (b *fakeBackend) Outcome(_ context.Context, service endive.ServiceName, key endive.IdempotencyKey) (apiv1.RecordedOutcome, error) {
	return apiv1.RecordedOutcome{Service: service, Key: key, Outcome: endive.Answered, Status: 200, Body: []byte("cut")}, b.call(key)
}

func (b *fakeBackend) Apply(_ context.Context, ticket endive.Ticket, deadline time.Time) (apiv1.TicketStatus, error) {
	b.deadline = deadline
	return apiv1.TicketStatus{Number: ticket.Number, State: b.state}, b.call(ticket)
}

func (b *fakeBackend) Ticket(_ context.Context, number endive.TicketNumber) (apiv1.TicketStatus, error) {
	return apiv1.TicketStatus{Number: number, State: b.state}, b.call(number)
}

func (b *fakeBackend) Config(context.Context) (apiv1.Config, error) {
	return apiv1.Config{Entry: "entry-1"}, b.call(nil)
}

func (b *fakeBackend) Submit(_ context.Context, job endive.Job) (apiv1.JobStatus, error) {
	return apiv1.JobStatus{Job: job, State: apiv1.JobWaiting}, b.call(job)
}

func (b *fakeBackend) Job(_ context.Context, id endive.JobID) (apiv1.JobStatus, error) {
	return apiv1.JobStatus{Job: endive.Job{ID: id}}, b.call(id)
}

func (b *fakeBackend) Jobs(_ context.Context, query apiv1.JobQuery) (apiv1.JobList, error) {
	return apiv1.JobList{Jobs: []apiv1.JobStatus{}}, b.call(query)
}

func (b *fakeBackend) Cancel(_ context.Context, cancellation apiv1.Cancellation) (apiv1.Cancelled, error) {
	return apiv1.Cancelled{Jobs: 2}, b.call(cancellation)
}

func (b *fakeBackend) Entries(context.Context) (apiv1.EntryList, error) {
	return apiv1.EntryList{}, b.call(nil)
}

func (b *fakeBackend) Instances(context.Context) (apiv1.InstanceList, error) {
	return apiv1.InstanceList{}, b.call(nil)
}

func (b *fakeBackend) Workers(context.Context) (apiv1.WorkerList, error) {
	return apiv1.WorkerList{}, b.call(nil)
}

func (b *fakeBackend) Slices(context.Context) (apiv1.SliceList, error) {
	return apiv1.SliceList{}, b.call(nil)
}

func (b *fakeBackend) Slots(context.Context) (apiv1.SlotList, error) {
	return apiv1.SlotList{}, b.call(nil)
}

// fixture is a Server in PhaseServing with a fakeBackend.
type fixture struct {
	*Server
	backend *fakeBackend
	scope   tally.TestScope
	clock   *fakes.Clock
}

// newFixture returns a fixture with the given limits.
func newFixture(limits setup.Limits) fixture {
	limits.Defaults()
	f := fixture{backend: &fakeBackend{}, scope: tally.NewTestScope("", nil), clock: fakes.NewClock()}
	f.Server = New(Config{
		Entry: "entry-1", Incarnation: "a", Backend: f.backend, Clock: f.clock,
		Logger: hclog.NewNullLogger(), Scope: f.scope, Limits: limits, Gate: NewGate(),
	})
	f.Gate.Set(PhaseServing)
	return f
}

// testCall is an HTTP call that a test sends.
type testCall struct {
	method, path, body string
	// header alternates between names and values.
	header []string
}

// do sends a call to the operators' handler, which has all routes.
func (f fixture) do(call testCall) *httptest.ResponseRecorder {
	r := httptest.NewRequest(call.method, call.path, strings.NewReader(call.body))
	for i := 0; i < len(call.header); i += 2 {
		r.Header[http.CanonicalHeaderKey(call.header[i])] = append(r.Header[http.CanonicalHeaderKey(call.header[i])], call.header[i+1])
	}
	w := httptest.NewRecorder()
	f.OperatorHandler().ServeHTTP(w, r)
	return w
}
