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

// maxSize bounds the answer that a request may ask for, in bytes.
const maxSize = 64 << 20

// Executor answers the requests of one service. It is safe for concurrent use.
type Executor struct {
	service endive.ServiceName
	slots   int
	target  fault.Target
	faults  *fault.Set
	ledger  *Ledger
	times   times

	mu    sync.Mutex
	count Count
}

// NewExecutor returns an executor that draws service times of the given mean
// from the seeded source.
func NewExecutor(target fault.Target, service endive.ServiceName, slots int, mean endive.Interval, random *rand.Rand, faults *fault.Set, ledger *Ledger) *Executor {
	return &Executor{
		service: service,
		slots:   slots,
		target:  target,
		faults:  faults,
		ledger:  ledger,
		times:   times{mean: mean, random: random},
	}
}

// Count returns what was counted.
func (e *Executor) Count() Count {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.count
}

// Handle implements serve.Handler.
func (e *Executor) Handle(ctx context.Context, r serve.Request) serve.Answer {
	if r.Method != http.MethodPost || r.Path != "/v1/execute" {
		return serve.Text(http.StatusNotFound, "no such path: "+r.Method+" "+r.Path)
	}
	if got := r.Header.Get(rest.HeaderService); got != string(e.service) {
		return e.refusal(http.StatusServiceUnavailable, "this executor runs "+string(e.service))
	}
	if !e.begin() {
		e.ledger.refuse(e.service)
		return e.refusal(http.StatusTooManyRequests, "no free slot")
	}
	defer e.end()
	e.ledger.run(e.service, r.Header.Get(rest.HeaderRequestID), string(r.Body))
	w, timed := parseWish(r.Header.Get(HeaderServiceTime), string(r.Body))
	if !timed {
		w.time = e.times.draw()
	}
	pass(ctx, w.time)
	return serve.Answer{
		Status: http.StatusOK,
		Header: e.header(),
		Body:   answerBody(e.service, r.Body, w.size),
	}
}

// answerBody is a function of service and body alone, so that a caller can tell
// whether it got the whole answer to its own question.
func answerBody(service endive.ServiceName, body []byte, size int) []byte {
	var b bytes.Buffer
	b.WriteString(string(service) + ": ")
	b.Write(body)
	if missing := min(size, maxSize) - b.Len(); missing > 0 {
		b.WriteString(strings.Repeat(".", missing))
	}
	return b.Bytes()
}

// refusal says that the request was not run.
func (e *Executor) refusal(status int, text string) serve.Answer {
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

// begin takes a slot, if one is free.
func (e *Executor) begin() bool {
	_, leaving := e.faults.On(e.target, fault.Leaving)
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.count.Running >= e.slots {
		e.count.Refused++
		return false
	}
	if leaving {
		e.count.RunsLeaving++
	}
	e.count.Runs++
	e.count.Running++
	e.count.MostRunning = max(e.count.MostRunning, e.count.Running)
	return true
}

func (e *Executor) end() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.count.Running--
}

// pass lets the service time pass, or less where the stand-in stops.
func pass(ctx context.Context, i endive.Interval) {
	timer := time.NewTimer(time.Duration(i))
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
