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

// execCase is one fault of an executor and what Call must make of it.
type execCase struct {
	name string
	// pooled runs another request first, so that its connection is used again;
	// early says that the fault is on for that request already.
	pooled, early bool
	fault         fault.Fault
	service       endive.ServiceName
	body          string
	timeout       endive.Interval
	// fresh asks for a fresh connection; age bounds that of pooled ones.
	fresh   bool
	age     endive.Interval
	want    endive.Outcome
	status  int
	runs    int
	leaving bool
	refused bool
	// next is the outcome of the same request's next attempt, by default with a
	// fresh connection.
	next       endive.Outcome
	nextPooled bool
}

var execCases = []execCase{
	{name: "no fault", want: endive.Answered, status: 200, runs: 1},
	{name: "no fault, pooled", pooled: true, want: endive.Answered, status: 200, runs: 1},
	{name: "empty body", body: "-", want: endive.Answered, status: 200, runs: 1},
	{name: "lost answer", fault: fault.Fault{Kind: fault.LostAnswer, Count: 1}, want: endive.Unknown, runs: 1, next: endive.Answered},
	{name: "lost answer, pooled", pooled: true, fault: fault.Fault{Kind: fault.LostAnswer, Count: 1}, want: endive.Unknown, runs: 1},
	{name: "lost answer, pooled, empty body", body: "-", pooled: true, fault: fault.Fault{Kind: fault.LostAnswer, Count: 1}, want: endive.Unknown, runs: 1},
	{name: "closed as the request goes out", pooled: true, fault: fault.Fault{Kind: fault.Down, Count: 1}, want: endive.Unknown, next: endive.Answered},
	{name: "truncated", fault: fault.Fault{Kind: fault.Truncated}, want: endive.Unknown, runs: 1},
	{name: "dying in the middle", fault: fault.Fault{Kind: fault.Dying}, want: endive.Unknown, runs: 1, next: endive.Unknown},
	{name: "swapped", pooled: true, fault: fault.Fault{Kind: fault.Swapped, Count: 1}, want: endive.Unknown, runs: 1, next: endive.Answered},
	{name: "duplicated", pooled: true, early: true, fault: fault.Fault{Kind: fault.Duplicated, Count: 1}, want: endive.Unknown, next: endive.Answered},
	{name: "duplicated refusal", service: "cut", fault: fault.Fault{Kind: fault.Duplicated, Count: 1}, want: endive.NotRun, status: 503, refused: true, next: endive.Unknown, nextPooled: true},
	{name: "late", timeout: shortly, fault: fault.Fault{Kind: fault.Late, Delay: generously, Count: 1}, want: endive.Unknown, runs: 1, next: endive.Answered},
	{name: "silent connection", pooled: true, timeout: shortly, fault: fault.Fault{Kind: fault.Silent}, want: endive.Unknown, next: endive.Answered},
	{name: "silent connection, fresh one asked for", pooled: true, fresh: true, fault: fault.Fault{Kind: fault.Silent}, want: endive.Answered, status: 200, runs: 1},
	{name: "silent connection, too old to be used", pooled: true, age: 1, fault: fault.Fault{Kind: fault.Silent}, want: endive.Answered, status: 200, runs: 1},
	{name: "cut off", timeout: shortly, fault: fault.Fault{Kind: fault.Cut}, want: endive.Unknown},
	{name: "fails everything", fault: fault.Fault{Kind: fault.FailAll}, want: endive.Answered, status: 500},
	{name: "leaving", fault: fault.Fault{Kind: fault.Leaving}, want: endive.Answered, status: 200, runs: 1, leaving: true},
	{name: "refused", service: "cut", want: endive.NotRun, status: 503, refused: true},
	{name: "above the bound", body: "size=5000", want: endive.Unknown, runs: 1},
}

func TestExecutors(t *testing.T) {
	for _, tt := range execCases {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			tt.test(t)
		})
	}
}

func (tt execCase) test(t *testing.T) {
	is := is.New(t)
	p := newPlatform(t)
	settings := newSettings()
	if tt.age != 0 {
		settings.MaxAge = tt.age
	}
	client := exec.New(settings, endive.SystemClock{}, "gogledd")
	if tt.early {
		switchOn(p, fault.Executor, tt.fault)
	}
	if tt.pooled {
		is.Equal(client.Call(t.Context(), newCall(p, "before", "before.1")).Outcome, endive.Answered)
	}
	if !tt.early {
		switchOn(p, fault.Executor, tt.fault)
	}
	call := newCall(p, "asked", "asked.1")
	call.FreshConnection = tt.fresh
	call.Body = []byte(strings.TrimPrefix(tt.body, "-"))
	if tt.service != "" {
		call.Service = tt.service
	}
	if tt.timeout != 0 {
		call.Deadline = tt.timeout.After(time.Now())
	}
	reply := client.Call(t.Context(), call)
	is.Equal(reply.Outcome, tt.want) // outcome
	is.Equal(reply.Status, tt.status)
	is.Equal(reply.Leaving, tt.leaving)
	is.Equal(reply.Refused, tt.refused)
	is.Equal(p.Counts(true).Services["quote"].ByRequest["asked"], tt.runs) // runs
	if reply.Status == 200 {
		is.Equal(string(reply.Body), "quote: "+string(call.Body))
	}
	if tt.next != "" {
		call = newCall(p, "asked", "asked.2")
		call.FreshConnection = !tt.nextPooled
		is.Equal(client.Call(t.Context(), call).Outcome, tt.next) // next attempt
	}
}

// newCall returns an attempt at a request to the platform's executor.
func newCall(p *launch.Platform, request endive.RequestID, attempt endive.AttemptID) endive.Call {
	return endive.Call{
		Attempt:   attempt,
		Request:   request,
		Service:   "quote",
		Executor:  "quote-1",
		Address:   p.Addresses().Executors["quote-1"],
		Deadline:  generously.After(time.Now()),
		Body:      []byte("a question"),
		MaxAnswer: 4 * endive.KiB,
	}
}

// TestExecutorsNobodyListens proves that a refused connection is "not run".
func TestExecutorsNobodyListens(t *testing.T) {
	is := is.New(t)
	p := newPlatform(t)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	call := newCall(p, "asked", "asked.1")
	call.Address = endive.Address(listener.Addr().String())
	is.NoErr(listener.Close())
	client := exec.New(newSettings(), endive.SystemClock{}, "gogledd")
	is.Equal(client.Call(t.Context(), call).Outcome, endive.NotRun)
}

// TestExecutorsSlots proves that a request without a free slot is refused as
// "not run", and that an ended attempt leaves nothing behind.
func TestExecutorsSlots(t *testing.T) {
	is := is.New(t)
	p := newPlatform(t)
	client := exec.New(newSettings(), endive.SystemClock{}, "gogledd")
	first := newCall(p, "first", "first.1")
	first.Body = []byte("time=10s")
	holder := &caller{client: client, call: first}
	ctx, cancel := context.WithCancel(t.Context())
	holder.done.Add(1)
	go holder.run(ctx)
	reply := client.Call(t.Context(), newCall(p, "second", "second.1"))
	for reply.Outcome == endive.Answered {
		reply = client.Call(t.Context(), newCall(p, "second", "second.1"))
	}
	is.Equal(reply.Outcome, endive.NotRun)
	is.True(reply.Refused)
	is.Equal(reply.Status, 429)
	cancel()
	holder.done.Wait()
	is.Equal(holder.reply.Outcome, endive.Unknown)
	is.Equal(p.Counts(false).Executors["quote-1"].MostRunning, 1)
}

// holdTwo has two calls under way, each on a connection of its own.
func holdTwo(ctx context.Context, t *testing.T, p *launch.Platform, client endive.Executors) []*caller {
	t.Helper()
	holders := make([]*caller, 2)
	for i := range holders {
		holders[i] = &caller{client: client, call: newCall(p, "holder", "holder.1")}
		holders[i].call.Connections = len(holders)
		holders[i].done.Add(1)
		go holders[i].run(ctx)
	}
	for p.Counts(false).Executors["quote-1"].MostConnections < len(holders) {
		_, _ = insts.New(newHTTP(), p.Addresses().Instances).List(t.Context())
	}
	return holders
}

// TestExecutorsConnections proves that the bound on connections holds, and that
// an attempt that gets none until its deadline is "not run".
func TestExecutorsConnections(t *testing.T) {
	is := is.New(t)
	p := newPlatform(t)
	client := exec.New(newSettings(), endive.SystemClock{}, "gogledd")
	ctx, cancel := context.WithCancel(t.Context())
	switchOn(p, fault.Executor, fault.Fault{Kind: fault.Cut})
	holders := holdTwo(ctx, t, p, client)
	call := newCall(p, "asked", "asked.1")
	call.Deadline = shortly.After(time.Now())
	call.Connections = len(holders)
	is.Equal(client.Call(t.Context(), call).Outcome, endive.NotRun)
	cancel()
	for _, holder := range holders {
		holder.done.Wait()
		is.Equal(holder.reply.Outcome, endive.Unknown)
	}
	is.Equal(p.Counts(false).Executors["quote-1"].MostConnections, len(holders))
}

// TestExecutorsAllSilent proves that of several connections that went silent
// together only one costs a request its answer, and that a lower bound on
// connections closes idle ones.
func TestExecutorsAllSilent(t *testing.T) {
	for _, limit := range []int{2, 1} {
		is := is.New(t)
		p := newPlatform(t)
		client := exec.New(newSettings(), endive.SystemClock{}, "gogledd")
		switchOn(p, fault.Executor, fault.Fault{Kind: fault.Paused})
		holders := holdTwo(t.Context(), t, p, client)
		p.Faults().Clear()
		for _, holder := range holders {
			holder.done.Wait()
			is.Equal(holder.reply.Outcome, endive.Answered)
		}
		switchOn(p, fault.Executor, fault.Fault{Kind: fault.Silent})
		var outcomes []endive.Outcome
		for range 2 {
			call := newCall(p, "asked", "asked.1")
			call.Deadline = shortly.After(time.Now())
			call.Connections = limit
			outcomes = append(outcomes, client.Call(t.Context(), call).Outcome)
		}
		want := []endive.Outcome{endive.Unknown, endive.Answered}
		if limit < len(holders) {
			want[0] = endive.Answered
		}
		is.Equal(outcomes, want)
		for p.Counts(false).Parts[fault.Executor].Connections > limit { // the former ones are closed
			_, _ = insts.New(newHTTP(), p.Addresses().Instances).List(t.Context())
		}
	}
}

// caller makes one call in a goroutine, again while it is refused.
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
