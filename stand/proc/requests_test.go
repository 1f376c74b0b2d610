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

// asker is one caller that asks in a goroutine of its own.
type asker struct {
	client  *client.Client
	request apiv1.Request
	ctx     context.Context
	done    *sync.WaitGroup
	answer  apiv1.Answer
}

func (a *asker) run() {
	defer a.done.Done()
	a.answer, _ = a.client.SendRequest(a.ctx, a.request)
}

// askAll asks the requests at the same time, each at the next entry.
func (c *cluster) askAll(requests []apiv1.Request, between func()) []apiv1.Answer {
	var done sync.WaitGroup
	askers := make([]*asker, len(requests))
	clients := []*client.Client{c.client(0), c.client(1), c.client(2)}
	for i, request := range requests {
		askers[i] = &asker{client: clients[i%3], request: request, ctx: c.context(30 * time.Second), done: &done}
		done.Add(1)
		go askers[i].run()
	}
	between()
	done.Wait()
	answers := make([]apiv1.Answer, len(requests))
	for i, a := range askers {
		answers[i] = a.answer
	}
	return answers
}

// cutPanel returns n requests that share one key.
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

// runs returns how often an executor of the service ran the body.
func (c *cluster) runs(service endive.ServiceName, body string) int {
	return c.platform.Counts(true).Services[service].ByBody[body]
}

func TestOneKeyRunsOnce(t *testing.T) {
	slowCut := fault.Fault{Part: fault.Executor, Kind: fault.Slow, Delay: endive.Interval(300 * time.Millisecond)}
	tests := []struct {
		name string
		// disturb happens while the requests are under way.
		disturb func(c *cluster)
		mend    func(c *cluster)
		// answered says that every caller must get the answer.
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
			c.fault(fault.Fault{Part: fault.Table, Kind: fault.LostAnswer, Count: 20}, true)
		}, func(c *cluster) {
			c.fault(fault.Fault{Part: fault.Table, Kind: fault.LostAnswer}, false)
		}, false},
		{"executors die in their answers", func(c *cluster) {
			c.fault(fault.Fault{Part: fault.Executor, Kind: fault.Truncated, Count: 50}, true)
		}, func(c *cluster) {
			c.fault(fault.Fault{Part: fault.Executor, Kind: fault.Truncated}, false)
		}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			c := start(t)
			c.basics()
			c.fault(slowCut, true)
			const panel = "panel-7"
			answers := c.askAll(cutPanel(50, panel), func() { tt.disturb(c) })
			tt.mend(c)
			is.True(c.runs("cut", panel) <= 1)
			body := ""
			for _, a := range answers {
				if a.Outcome == endive.Answered {
					is.True(body == "" || body == string(a.Body)) // one answer for all
					body = string(a.Body)
				}
				is.True(!tt.answered || a.Outcome == endive.Answered)
			}
			// A retry under the key, at each entry that lives, runs nothing again.
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

// A planned stop cuts off no request in flight.
func TestPlannedStopCutsOffNoRequest(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := start(t)
	c.basics()
	c.fault(fault.Fault{Part: fault.Executor, Kind: fault.Slow, Delay: endive.Interval(4 * time.Second)}, true)
	requests := make([]apiv1.Request, 30)
	for i := range requests {
		requests[i] = apiv1.Request{Service: "quote", Body: fmt.Appendf(nil, "marquee %d", i), Deadline: time.Now().Add(20 * time.Second)}
	}
	answers := c.askAll(requests, func() {
		<-time.After(200 * time.Millisecond)
		c.signal(0, syscall.SIGTERM)
		c.signal(1, syscall.SIGTERM) // two at once
	})
	is.NoErr(<-c.entries[0].exited)
	is.NoErr(<-c.entries[1].exited)
	for i, a := range answers {
		if a.Outcome != endive.Answered {
			t.Errorf("request %d at entry-%d: %s, %s", i, i%3+1, a.Outcome, a.Reason)
		}
	}
}

// While the table service is down, idempotent requests are answered, and the
// others are refused at once with when to come back.
func TestRequestsWhileTheTableServiceIsDown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := start(t)
	c.basics()
	c.fault(fault.Fault{Part: fault.Table, Kind: fault.Down}, true)
	<-time.After(7 * time.Second) // beyond every lease on the configuration
	for i := range 3 {
		cl := c.client(i)
		quote, err := cl.SendRequest(c.context(10*time.Second), apiv1.Request{Service: "quote", Body: []byte("tent"), Deadline: time.Now().Add(5 * time.Second)})
		is.NoErr(err)
		is.Equal(quote.Outcome, endive.Answered)
		cut, err := cl.SendRequest(c.context(10*time.Second), cutPanel(1, "panel-9")[0])
		is.True(err != nil)
		is.Equal(cut.Outcome, endive.NotRun)
		is.True(cut.RetryAfter > 0)
		is.True(cut.AttemptOnly) // whether the key was used before can't be read
	}
	is.Equal(c.runs("cut", "panel-9"), 0) // "not run" was true
}

// An executor that is leaving gets nothing new, though the list lags by 30 s and
// the sign reaches one entry only.
func TestLeavingExecutorGetsNothingNew(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := start(t)
	c.basics()
	c.fault(fault.Fault{Part: fault.Instances, Kind: fault.Lag, Delay: endive.Interval(30 * time.Second)}, true)
	c.fault(fault.Fault{Part: fault.Table, Kind: fault.Down}, true)
	leaving := fault.Fault{Part: fault.Executor, Instance: "quote-1", Kind: fault.Leaving}
	c.fault(leaving, true)
	ask := func(entry, n int) {
		cl := c.client(entry)
		for i := range n {
			request := apiv1.Request{Service: "quote", Body: fmt.Appendf(nil, "tent %d %d", entry, i), Deadline: time.Now().Add(5 * time.Second)}
			if a, err := cl.SendRequest(c.context(10*time.Second), request); a.Outcome != endive.Answered {
				t.Errorf("entry-%d: %v", entry+1, err)
			}
		}
	}
	told := func(entry int) bool {
		list, err := c.client(entry).Instances(c.context(time.Second))
		is.NoErr(err)
		for _, one := range list.Instances {
			if one.ID == "quote-1" {
				return one.State == endive.MemberLeaving
			}
		}
		return false
	}
	c.eventually("the sign reached entry-1", func() bool { ask(0, 5); return told(0) })
	c.eventually("the sign reached the others", func() bool { return told(1) && told(2) })
	before := c.platform.Counts(false).Executors["quote-1"].Runs
	for entry := range 3 {
		ask(entry, 30)
	}
	is.Equal(c.platform.Counts(false).Executors["quote-1"].Runs, before)
}
