package launch_test

import (
	"context"
	"net"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/exec"
	"endiveroute.example/endive/insts"
	"endiveroute.example/endive/stand/fault"
	"endiveroute.example/endive/stand/launch"
)

// execCase is a fault of an executor and the reply that Call must return.
type execCase struct {
	name string
	// pooled runs another request first, so that its connection is reused;
	// faultFirst switches the fault on before that request.
	pooled, faultFirst bool
	fault              fault.Fault
	service            endive.ServiceName
	body               string
	timeout            endive.Interval
	// freshConnection requests a new connection; maxAge bounds the age of pooled
	// connections.
	freshConnection bool
	maxAge          endive.Interval
	wantOutcome     endive.Outcome
	wantStatus      int
	wantRuns        int
	wantLeaving     bool
	wantRefused     bool
	// nextOutcome is the outcome of the next attempt at the same request. That
	// attempt requests a new connection unless nextPooled is set.
	nextOutcome endive.Outcome
	nextPooled  bool
}

var execCases = []execCase{
	{name: "no fault", wantOutcome: endive.Answered, wantStatus: 200, wantRuns: 1},
	{name: "no fault, pooled", pooled: true, wantOutcome: endive.Answered, wantStatus: 200, wantRuns: 1},
	{name: "empty body", body: "-", wantOutcome: endive.Answered, wantStatus: 200, wantRuns: 1},
	{name: "lost answer", fault: fault.Fault{Kind: fault.LostAnswer, Count: 1}, wantOutcome: endive.Unknown, wantRuns: 1, nextOutcome: endive.Answered},
	{name: "lost answer, pooled", pooled: true, fault: fault.Fault{Kind: fault.LostAnswer, Count: 1}, wantOutcome: endive.Unknown, wantRuns: 1},
	{name: "lost answer, pooled, empty body", body: "-", pooled: true, fault: fault.Fault{Kind: fault.LostAnswer, Count: 1}, wantOutcome: endive.Unknown, wantRuns: 1},
	{name: "closed as the request goes out", pooled: true, fault: fault.Fault{Kind: fault.Down, Count: 1}, wantOutcome: endive.Unknown, nextOutcome: endive.Answered},
	{name: "truncated", fault: fault.Fault{Kind: fault.Truncated}, wantOutcome: endive.Unknown, wantRuns: 1},
	{name: "dying in the middle", fault: fault.Fault{Kind: fault.Dying}, wantOutcome: endive.Unknown, wantRuns: 1, nextOutcome: endive.Unknown},
	{name: "swapped", pooled: true, fault: fault.Fault{Kind: fault.Swapped, Count: 1}, wantOutcome: endive.Unknown, wantRuns: 1, nextOutcome: endive.Answered},
	{name: "duplicated", pooled: true, faultFirst: true, fault: fault.Fault{Kind: fault.Duplicated, Count: 1}, wantOutcome: endive.Unknown, nextOutcome: endive.Answered},
	{name: "duplicated refusal", service: "cut", fault: fault.Fault{Kind: fault.Duplicated, Count: 1}, wantOutcome: endive.NotRun, wantStatus: 503, wantRefused: true, nextOutcome: endive.Unknown, nextPooled: true},
	{name: "late", timeout: shortTimeout, fault: fault.Fault{Kind: fault.Late, Delay: longTimeout, Count: 1}, wantOutcome: endive.Unknown, wantRuns: 1, nextOutcome: endive.Answered},
	{name: "silent connection", pooled: true, timeout: shortTimeout, fault: fault.Fault{Kind: fault.Silent}, wantOutcome: endive.Unknown, nextOutcome: endive.Answered},
	{name: "silent connection, fresh one asked for", pooled: true, freshConnection: true, fault: fault.Fault{Kind: fault.Silent}, wantOutcome: endive.Answered, wantStatus: 200, wantRuns: 1},
	{name: "silent connection, too old to be used", pooled: true, maxAge: 1, fault: fault.Fault{Kind: fault.Silent}, wantOutcome: endive.Answered, wantStatus: 200, wantRuns: 1},
	{name: "cut off", timeout: shortTimeout, fault: fault.Fault{Kind: fault.Cut}, wantOutcome: endive.Unknown},
	{name: "fails everything", fault: fault.Fault{Kind: fault.FailAll}, wantOutcome: endive.Answered, wantStatus: 500},
	{name: "leaving", fault: fault.Fault{Kind: fault.Leaving}, wantOutcome: endive.Answered, wantStatus: 200, wantRuns: 1, wantLeaving: true},
	{name: "refused", service: "cut", wantOutcome: endive.NotRun, wantStatus: 503, wantRefused: true},
	{name: "above the bound", body: "size=5000", wantOutcome: endive.Unknown, wantRuns: 1},
}

func TestExecutors(t *testing.T) {
	for _, tt := range execCases {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			tt.run(t)
		})
	}
}

func (tt execCase) run(t *testing.T) {
	is := is.New(t)
	p := startPlatform(t)
	settings := connectionSettings()
	if tt.maxAge != 0 {
		settings.MaxAge = tt.maxAge
	}
	client := exec.New(settings, endive.SystemClock{}, "gogledd")
	if tt.faultFirst {
		enableFault(p, fault.Executor, tt.fault)
	}
	if tt.pooled {
		is.Equal(client.Call(t.Context(), newCall(p, "before", "before.1")).Outcome, endive.Answered)
	}
	if !tt.faultFirst {
		enableFault(p, fault.Executor, tt.fault)
	}
	call := newCall(p, "asked", "asked.1")
	call.FreshConnection = tt.freshConnection
	call.Body = []byte(strings.TrimPrefix(tt.body, "-"))
	if tt.service != "" {
		call.Service = tt.service
	}
	if tt.timeout != 0 {
		call.Deadline = tt.timeout.After(time.Now())
	}
	reply := client.Call(t.Context(), call)
	is.Equal(reply.Outcome, tt.wantOutcome) // outcome
	is.Equal(reply.Status, tt.wantStatus)
	is.Equal(reply.Leaving, tt.wantLeaving)
	is.Equal(reply.Refused, tt.wantRefused)
	is.Equal(p.Counts(true).Services["quote"].ByRequest["asked"], tt.wantRuns) // runs
	if reply.Status == 200 {
		is.Equal(string(reply.Body), "quote: "+string(call.Body))
	}
	if tt.nextOutcome != "" {
		call = newCall(p, "asked", "asked.2")
		call.FreshConnection = !tt.nextPooled
		is.Equal(client.Call(t.Context(), call).Outcome, tt.nextOutcome) // next attempt
	}
}

// newCall returns an attempt at a request to the executor of the platform.
func newCall(p *launch.Platform, request endive.RequestID, attempt endive.AttemptID) endive.Call {
	return endive.Call{
		Attempt:   attempt,
		Request:   request,
		Service:   "quote",
		Executor:  "quote-1",
		Address:   p.Addresses().Executors["quote-1"],
		Deadline:  longTimeout.After(time.Now()),
		Body:      []byte("a question"),
		MaxAnswer: 4 * endive.KiB,
	}
}

// TestExecutorsNobodyListens verifies that a call whose connection is refused has
// outcome "not run".
func TestExecutorsNobodyListens(t *testing.T) {
	is := is.New(t)
	p := startPlatform(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	call := newCall(p, "asked", "asked.1")
	call.Address = endive.Address(listener.Addr().String())
	is.NoErr(listener.Close())
	client := exec.New(connectionSettings(), endive.SystemClock{}, "gogledd")
	is.Equal(client.Call(t.Context(), call).Outcome, endive.NotRun)
}

// TestExecutorsSlots verifies that a request that finds no free slot is refused
// with outcome "not run", and that a cancelled attempt has outcome "unknown".
func TestExecutorsSlots(t *testing.T) {
	is := is.New(t)
	p := startPlatform(t)
	client := exec.New(connectionSettings(), endive.SystemClock{}, "gogledd")
	first := newCall(p, "first", "first.1")
	first.Body = []byte("time=10s")
	running := &caller{client: client, call: first}
	ctx, cancel := context.WithCancel(t.Context())
	running.done.Add(1)
	go running.run(ctx)
	reply := client.Call(t.Context(), newCall(p, "second", "second.1"))
	for reply.Outcome == endive.Answered {
		reply = client.Call(t.Context(), newCall(p, "second", "second.1"))
	}
	is.Equal(reply.Outcome, endive.NotRun)
	is.True(reply.Refused)
	is.Equal(reply.Status, 429)
	cancel()
	running.done.Wait()
	is.Equal(running.reply.Outcome, endive.Unknown)
	is.Equal(p.Counts(false).Executors["quote-1"].MostRunning, 1)
}

// startTwoCalls starts two calls and waits until each has its own connection.
func startTwoCalls(ctx context.Context, t *testing.T, p *launch.Platform, client endive.Executors) []*caller {
	t.Helper()
	callers := make([]*caller, 2)
	for i := range callers {
		callers[i] = &caller{client: client, call: newCall(p, "holder", "holder.1")}
		callers[i].call.Connections = len(callers)
		callers[i].done.Add(1)
		go callers[i].run(ctx)
	}
	for p.Counts(false).Executors["quote-1"].MostConnections < len(callers) {
		_, _ = insts.New(newRESTClient(), p.Addresses().Instances).List(t.Context())
	}
	return callers
}

// TestExecutorsConnections verifies the limit on connections, and that an attempt
// that gets no connection before its deadline has outcome "not run".
func TestExecutorsConnections(t *testing.T) {
	is := is.New(t)
	p := startPlatform(t)
	client := exec.New(connectionSettings(), endive.SystemClock{}, "gogledd")
	ctx, cancel := context.WithCancel(t.Context())
	enableFault(p, fault.Executor, fault.Fault{Kind: fault.Cut})
	callers := startTwoCalls(ctx, t, p, client)
	call := newCall(p, "asked", "asked.1")
	call.Deadline = shortTimeout.After(time.Now())
	call.Connections = len(callers)
	is.Equal(client.Call(t.Context(), call).Outcome, endive.NotRun)
	cancel()
	for _, holder := range callers {
		holder.done.Wait()
		is.Equal(holder.reply.Outcome, endive.Unknown)
	}
	is.Equal(p.Counts(false).Executors["quote-1"].MostConnections, len(callers))
}

// TestExecutorsAllSilent verifies that when several pooled connections stop
// answering at the same time, only one request fails, and that a lower connection
// limit closes idle connections.
func TestExecutorsAllSilent(t *testing.T) {
	for _, limit := range []int{2, 1} {
		is := is.New(t)
		p := startPlatform(t)
		client := exec.New(connectionSettings(), endive.SystemClock{}, "gogledd")
		enableFault(p, fault.Executor, fault.Fault{Kind: fault.Paused})
		callers := startTwoCalls(t.Context(), t, p, client)
		p.Faults().Clear()
		for _, holder := range callers {
			holder.done.Wait()
			is.Equal(holder.reply.Outcome, endive.Answered)
		}
		enableFault(p, fault.Executor, fault.Fault{Kind: fault.Silent})
		var outcomes []endive.Outcome
		for range 2 {
			call := newCall(p, "asked", "asked.1")
			call.Deadline = shortTimeout.After(time.Now())
			call.Connections = limit
			outcomes = append(outcomes, client.Call(t.Context(), call).Outcome)
		}
		want := []endive.Outcome{endive.Unknown, endive.Answered}
		if limit < len(callers) {
			want[0] = endive.Answered
		}
		is.Equal(outcomes, want)
		for p.Counts(false).Parts[fault.Executor].Connections > limit { // wait until the old connections are closed
			_, _ = insts.New(newRESTClient(), p.Addresses().Instances).List(t.Context())
		}
	}
}

// caller makes one call in a goroutine, and repeats it while it is refused.
type caller struct {
	client endive.Executors
	call   endive.Call
	reply  endive.Reply
	done   sync.WaitGroup
}

func (c *caller) run(ctx context.Context) {
	defer c.done.Done()
	c.reply = c.client.Call(ctx, c.call)
	for c.reply.Refused {
		c.reply = c.client.Call(ctx, c.call)
	}
}
