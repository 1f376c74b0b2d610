package cell

import (
	"context"
	"slices"
	"sort"
	"sync"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/flow"
	"endiveroute.example/endive/wire"
)

// adviceTimeout bounds one question to the advice service, which answers the
// questions of a machine one after the other.
const adviceTimeout = 2500 * time.Millisecond

const (
	// maxQuestions bounds the questions that wait; what is beyond is left to the
	// pool's holder.
	maxQuestions = 64
	// maxBacklog is how long a question about new work may wait; one that would wait
	// longer is left to the holder, which finds an entry that is less busy.
	maxBacklog = 400 * time.Millisecond
	// maxWait is how long a question waits at the most. Nobody waits for the answer
	// to an older one.
	maxWait = 1500 * time.Millisecond
)

// question asks which workers may run a step.
type question struct {
	step    endive.StepID
	workers []endive.WorkerID
	pool    *pool
	// own questions come from the holder here, and from is set for those of other
	// entries. Answers to all others are for the holder, wherever it is.
	own  bool
	from endive.EntryID
	tag  uint64
	// cost is how long the answer takes; due orders the questions that wait.
	cost endive.Interval
	due  time.Time
}

// adviser asks the advice service, one question at a time.
type adviser struct {
	cell *Cell

	mu sync.Mutex
	// waiting are in the order of their due times.
	waiting []question
	// backlog is the cost of the questions that wait or are being answered.
	backlog endive.Interval
	// freeAt is when the question that is being answered has its answer.
	freeAt time.Time
	// more is filled when a question comes.
	more chan struct{}
}

func newAdviser(c *Cell) *adviser { return &adviser{cell: c, more: make(chan struct{}, 1)} }

// costWeight is how long a question waits, against its cost, for others that come
// later and are answered faster. It answers backlogs in which questions that take
// half a second stand beside ones that take 20 ms.
const costWeight = 2

// ask queues a question. It never blocks; one that finds no room is answered as
// failed.
func (a *adviser) ask(q question) {
	q.due = a.cell.Clock.Now().Add(costWeight * time.Duration(q.cost))
	a.mu.Lock()
	full := len(a.waiting) >= maxQuestions
	if !full {
		a.backlog += q.cost
		at := sort.Search(len(a.waiting), func(i int) bool { return a.waiting[i].due.After(q.due) })
		a.waiting = slices.Insert(a.waiting, at, q)
	}
	a.mu.Unlock()
	if full {
		a.answer(q, endive.Advice{}, false)
		return
	}
	select {
	case a.more <- struct{}{}:
	default:
	}
}

// next returns the question to ask now, if there is one.
func (a *adviser) next() (question, bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.waiting) == 0 {
		return question{}, false
	}
	q := a.waiting[0]
	a.waiting = a.waiting[1:]
	a.freeAt = a.cell.Clock.Now().Add(time.Duration(q.cost))
	return q, true
}

// waitFor returns how long a question of some cost would wait for those before it.
func (a *adviser) waitFor(cost endive.Interval) time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.cell.Clock.Now()
	due := now.Add(costWeight * time.Duration(cost))
	wait := max(0, a.freeAt.Sub(now))
	for _, q := range a.waiting {
		if q.due.After(due) {
			break
		}
		wait += time.Duration(q.cost)
	}
	return wait
}

// busy returns the cost of the questions that wait or are being answered.
func (a *adviser) busy() endive.Interval {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.backlog
}

// done takes a question out of the backlog.
func (a *adviser) done(q question) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.backlog -= q.cost
}

func (a *adviser) run() {
	for a.cell.ctx.Err() == nil {
		if q, ok := a.next(); ok {
			a.serve(q)
			continue
		}
		select {
		case <-a.more:
		case <-a.cell.ctx.Done():
		}
	}
}

func (a *adviser) serve(q question) {
	defer a.done(q)
	if a.cell.Clock.Now().After(q.due.Add(maxWait)) {
		a.answer(q, endive.Advice{}, false)
		return
	}
	ctx, cancel := context.WithTimeout(a.cell.ctx, adviceTimeout)
	defer cancel()
	advice, err := a.cell.Advisor.Advise(ctx, q.step, q.workers)
	if err != nil {
		a.cell.Log.Warn("advice failed", "step", string(q.step), "workers", len(q.workers), "error", err.Error())
	}
	a.answer(q, advice, err == nil)
}

// answer gives the advice to whoever asked.
func (a *adviser) answer(q question, advice endive.Advice, ok bool) {
	if q.from != "" {
		a.send(q, advice, ok)
		return
	}
	if q.own {
		q.pool.tell(flow.AdviceResult{
			Step: q.step, Workers: q.workers, Cost: q.cost, OK: ok, Grants: advice.Grants, Expiry: advice.Validity.After(a.cell.Clock.Now()),
		})
		return
	}
	if ok {
		q.pool.noteAdvice(q, advice)
	}
}

// askFor queues a question of another entry's holder.
func (a *adviser) askFor(from endive.EntryID, m *wire.AdviceAsk) {
	q := question{
		step: endive.StepID(m.GetStep()), workers: workersIn(m.GetWorkers()), from: from, tag: m.GetTag(),
		cost: endive.Interval(time.Duration(m.GetCostMillis()) * time.Millisecond),
	}
	a.ask(q)
}

// send gives the advice to the entry that asked.
func (a *adviser) send(q question, advice endive.Advice, ok bool) {
	message := &wire.AdviceAnswer{Tag: q.tag, Answered: ok, Good: grantsOf(advice.Grants), ValidityMillis: time.Duration(advice.Validity).Milliseconds(),
		BacklogMillis: time.Duration(a.busy() - q.cost).Milliseconds()}
	a.cell.peers.mesh.Send(q.from, message)
}
