package execs

import (
	"bytes"
	"context"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/rest"
	"endiveroute.example/endive/stand/fault"
	"endiveroute.example/endive/stand/serve"
)

// maxAnswerSize bounds the answer size that a request can choose, in bytes.
const maxAnswerSize = 64 << 20

// Executor answers the requests of one service. It is safe for concurrent use.
type Executor struct {
	service      endive.ServiceName
	slots        int
	target       fault.Target
	faults       *fault.Set
	runCounter   *RunCounter
	serviceTimes serviceTimes

	mu     sync.Mutex
	counts ExecutorCounts
}

// NewExecutor returns an executor that draws service times with the given mean
// from random.
func NewExecutor(target fault.Target, service endive.ServiceName, slots int, mean endive.Interval, random *rand.Rand, faults *fault.Set, runCounter *RunCounter) *Executor {
	return &Executor{
		service:      service,
		slots:        slots,
		target:       target,
		faults:       faults,
		runCounter:   runCounter,
		serviceTimes: serviceTimes{mean: mean, random: random},
	}
}

// Counts returns a copy of the counts.
func (e *Executor) Counts() ExecutorCounts {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counts
}

// Handle implements serve.Handler.
func (e *Executor) Handle(ctx context.Context, r serve.Request) serve.Answer {
	if r.Method != http.MethodPost || r.Path != "/v1/execute" {
		return serve.Text(http.StatusNotFound, "no such path: "+r.Method+" "+r.Path)
	}
	if got := r.Header.Get(rest.HeaderService); got != string(e.service) {
		return e.notRun(http.StatusServiceUnavailable, "this executor runs "+string(e.service))
	}
	if !e.acquireSlot() {
		e.runCounter.recordRefusal(e.service)
		return e.notRun(http.StatusTooManyRequests, "no free slot")
	}
	defer e.releaseSlot()
	e.runCounter.recordRun(e.service, r.Header.Get(rest.HeaderRequestID), string(r.Body))
	options, timed := parseOptions(r.Header.Get(HeaderServiceTime), string(r.Body))
	if !timed {
		options.serviceTime = e.serviceTimes.draw()
	}
	waitServiceTime(ctx, options.serviceTime)
	return serve.Answer{
		Status: http.StatusOK,
		Header: e.header(),
		Body:   answerBody(e.service, r.Body, options.answerSize),
	}
}

// answerBody returns the answer to a request. It depends only on the service and
// the request body, so that a client can check that it received the complete
// answer to its own request.
func answerBody(service endive.ServiceName, body []byte, size int) []byte {
	var b bytes.Buffer
	b.WriteString(string(service) + ": ")
	b.Write(body)
	if padding := min(size, maxAnswerSize) - b.Len(); padding > 0 {
		b.WriteString(strings.Repeat(".", padding))
	}
	return b.Bytes()
}

// notRun returns an answer that marks the request as not run.
func (e *Executor) notRun(status int, text string) serve.Answer {
	answer := serve.Text(status, text)
	answer.Header = e.header()
	answer.Header.Set(rest.HeaderNotRun, rest.HeaderTrue)
	return answer
}

func (e *Executor) header() http.Header {
	header := make(http.Header)
	if _, leaving := e.faults.On(e.target, fault.Leaving); leaving {
		header.Set(rest.HeaderLeaving, rest.HeaderTrue)
	}
	return header
}

// acquireSlot reports whether a slot was free, and marks it as in use.
func (e *Executor) acquireSlot() bool {
	_, leaving := e.faults.On(e.target, fault.Leaving)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.counts.Running >= e.slots {
		e.counts.Refused++
		return false
	}
	if leaving {
		e.counts.RunsLeaving++
	}
	e.counts.Runs++
	e.counts.Running++
	e.counts.MostRunning = max(e.counts.MostRunning, e.counts.Running)
	return true
}

func (e *Executor) releaseSlot() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.counts.Running--
}

// waitServiceTime waits for the service time, or until ctx is cancelled because the
// executor stops.
func waitServiceTime(ctx context.Context, duration endive.Interval) {
	timer := time.NewTimer(time.Duration(duration))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
