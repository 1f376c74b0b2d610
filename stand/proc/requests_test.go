package proc

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
	"endiveroute.example/endive/client"
	"endiveroute.example/endive/stand/fault"
)

// parallelRequest is a request that a client sends in its own goroutine.
type parallelRequest struct {
	client  *client.Client
	request apiv1.Request
	ctx     context.Context
	done    *sync.WaitGroup
	answer  apiv1.Answer
}

func (r *parallelRequest) send() {
	defer r.done.Done()
	r.answer, _ = r.client.SendRequest(r.ctx, r.request)
}

// requestAll sends the requests at the same time, distributed over the entries in
// turn, calls meanwhile while they are in flight, and returns the answers.
func (c *cluster) requestAll(requests []apiv1.Request, meanwhile func()) []apiv1.Answer {
	var done sync.WaitGroup
	parallelRequests := make([]*parallelRequest, len(requests))
	clients := []*client.Client{c.client(0), c.client(1), c.client(2)}
	for i, request := range requests {
		parallelRequests[i] = &parallelRequest{client: clients[i%3], request: request, ctx: c.context(30 * time.Second), done: &done}
		done.Add(1)
		go parallelRequests[i].send()
	}
	meanwhile()
	done.Wait()
	answers := make([]apiv1.Answer, len(requests))
	for i, a := range parallelRequests {
		answers[i] = a.answer
	}
	return answers
}

// cutPanel returns n requests to the cut service with the same idempotency key.
func cutPanel(n int, panel string) []apiv1.Request {
	requests := make([]apiv1.Request, n)
	for i := range requests {
		requests[i] = apiv1.Request{
			Service: "cut", Key: endive.IdempotencyKey(panel), NonIdempotent: true, Body: []byte(panel),
			Deadline: time.Now().Add(8 * time.Second),
		}
	}
	return requests
}

// runs returns how many times executors of the service ran a request with the
// body.
func (c *cluster) runs(service endive.ServiceName, body string) int {
	return c.platform.Counts(true).Services[service].ByBody[body]
}

func TestOneKeyRunsOnce(t *testing.T) {
	slowCut := fault.Fault{Part: fault.Executor, Kind: fault.Slow, Delay: endive.Interval(300 * time.Millisecond)}
	tests := []struct {
		name string
		// disturb is called while the requests are in flight.
		disturb func(c *cluster)
		mend    func(c *cluster)
		// answered requires that every client gets the answer.
		answered bool
	}{
		{"undisturbed", func(*cluster) {}, func(*cluster) {}, true},
		{"entry killed", func(c *cluster) {
			<-time.After(150 * time.Millisecond)
			c.signal(0, syscall.SIGKILL)
		}, func(*cluster) {}, false},
		{"entry paused", func(c *cluster) {
			<-time.After(150 * time.Millisecond)
			c.signal(0, syscall.SIGSTOP)
			<-time.After(time.Second)
			c.signal(0, syscall.SIGCONT)
		}, func(*cluster) {}, false},
		{"table answers lost", func(c *cluster) {
			c.switchFault(fault.Fault{Part: fault.Table, Kind: fault.LostAnswer, Count: 20}, true)
		}, func(c *cluster) {
			c.switchFault(fault.Fault{Part: fault.Table, Kind: fault.LostAnswer}, false)
		}, false},
		{"executors truncate their answers", func(c *cluster) {
			c.switchFault(fault.Fault{Part: fault.Executor, Kind: fault.Truncated, Count: 50}, true)
		}, func(c *cluster) {
			c.switchFault(fault.Fault{Part: fault.Executor, Kind: fault.Truncated}, false)
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := startCluster(t)
			c.applyFirstTicket()
			c.switchFault(slowCut, true)
			const panel = "panel-7"
			answers := c.requestAll(cutPanel(50, panel), func() { tt.disturb(c) })
			tt.mend(c)
			is.True(c.runs("cut", panel) <= 1)
			body := ""
			for _, a := range answers {
				if a.Outcome == endive.Answered {
					is.True(body == "" || body == string(a.Body)) // all clients get the same answer
					body = string(a.Body)
				}
				is.True(!tt.answered || a.Outcome == endive.Answered)
			}
			// A retry with the key at any running entry doesn't run the request again.
			for i, entry := range c.entries {
				if entry.ended.Load() {
					continue
				}
				again, _ := c.client(i).SendRequest(c.context(30*time.Second), cutPanel(1, panel)[0])
				is.True(again.Outcome != endive.Answered || body == "" || string(again.Body) == body)
			}
			is.True(c.runs("cut", panel) <= 1)
		})
	}
}

// A planned stop of two entries lets all requests in flight complete.
func TestPlannedStopCutsOffNoRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t)
	c.applyFirstTicket()
	c.switchFault(fault.Fault{Part: fault.Executor, Kind: fault.Slow, Delay: endive.Interval(4 * time.Second)}, true)
	requests := make([]apiv1.Request, 30)
	for i := range requests {
		requests[i] = apiv1.Request{Service: "quote", Body: fmt.Appendf(nil, "marquee %d", i), Deadline: time.Now().Add(20 * time.Second)}
	}
	answers := c.requestAll(requests, func() {
		<-time.After(200 * time.Millisecond)
		c.signal(0, syscall.SIGTERM)
		c.signal(1, syscall.SIGTERM) // both stop at the same time
	})
	is.NoErr(<-c.entries[0].exited)
	is.NoErr(<-c.entries[1].exited)
	for i, a := range answers {
		if a.Outcome != endive.Answered {
			t.Errorf("request %d at entry-%d: %s, %s", i, i%3+1, a.Outcome, a.Reason)
		}
	}
}

// While the table service is down, idempotent requests are answered; others are
// refused at once, with the time after which to retry.
func TestRequestsWhileTheTableServiceIsDown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t)
	c.applyFirstTicket()
	c.switchFault(fault.Fault{Part: fault.Table, Kind: fault.Down}, true)
	<-time.After(7 * time.Second) // longer than any lease on the configuration
	for i := range 3 {
		cl := c.client(i)
		quote, err := cl.SendRequest(c.context(10*time.Second), apiv1.Request{Service: "quote", Body: []byte("tent"), Deadline: time.Now().Add(5 * time.Second)})
		is.NoErr(err)
		is.Equal(quote.Outcome, endive.Answered)
		cut, err := cl.SendRequest(c.context(10*time.Second), cutPanel(1, "panel-9")[0])
		is.True(err != nil)
		is.Equal(cut.Outcome, endive.NotRun)
		is.True(cut.RetryAfter > 0)
		is.True(cut.AttemptOnly) // the entry can't read whether the key was used before
	}
	is.Equal(c.runs("cut", "panel-9"), 0) // outcome NotRun was correct
}

// An executor that announces its shutdown gets no new requests, even though the
// instance list lags by 30 s and only one entry receives the leave notice.
func TestLeavingExecutorGetsNothingNew(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t)
	c.applyFirstTicket()
	c.switchFault(fault.Fault{Part: fault.Instances, Kind: fault.Lag, Delay: endive.Interval(30 * time.Second)}, true)
	c.switchFault(fault.Fault{Part: fault.Table, Kind: fault.Down}, true)
	leaving := fault.Fault{Part: fault.Executor, Instance: "quote-1", Kind: fault.Leaving}
	c.switchFault(leaving, true)
	sendQuotes := func(entry, n int) {
		cl := c.client(entry)
		for i := range n {
			request := apiv1.Request{Service: "quote", Body: fmt.Appendf(nil, "tent %d %d", entry, i), Deadline: time.Now().Add(5 * time.Second)}
			if a, err := cl.SendRequest(c.context(10*time.Second), request); a.Outcome != endive.Answered {
				t.Errorf("entry-%d: %v", entry+1, err)
			}
		}
	}
	seesLeaving := func(entry int) bool {
		list, err := c.client(entry).Instances(c.context(time.Second))
		is.NoErr(err)
		for _, one := range list.Instances {
			if one.ID == "quote-1" {
				return one.State == endive.MemberLeaving
			}
		}
		return false
	}
	c.eventually("entry-1 lists the executor as leaving", func() bool { sendQuotes(0, 5); return seesLeaving(0) })
	c.eventually("the other entries list the executor as leaving", func() bool { return seesLeaving(1) && seesLeaving(2) })
	before := c.platform.Counts(false).Executors["quote-1"].Runs
	for entry := range 3 {
		sendQuotes(entry, 30)
	}
	is.Equal(c.platform.Counts(false).Executors["quote-1"].Runs, before)
}
