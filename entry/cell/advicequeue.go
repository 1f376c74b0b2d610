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

// adviceCallTimeout bounds one question to the advice service, which answers the
// questions of a machine one after the other.
const adviceCallTimeout = 2500 * time.Millisecond

const (
	// maxQueuedRequests bounds the questions that wait; what is beyond is left to the
	// pool's holder.
	maxQueuedRequests = 64
	// maxPrefetchDelay is how long a question about new work may wait; one that would wait
	// longer is left to the holder, which finds an entry that is less busy.
	maxPrefetchDelay = 400 * time.Millisecond
	// maxQueueWait is how long a question waits at the most. Nobody waits for the answer
	// to an older one.
	maxQueueWait = 1500 * time.Millisecond
)

// adviceRequest asks which workers may run a step.
type adviceRequest struct {
	step    endive.StepID
	workers []endive.WorkerID
	pool    *pool
	// fromHolder questions come from the holder here, and requester is set for those of other
	// entries. Answers to all others are for the holder, wherever it is.
	fromHolder bool
	requester  endive.EntryID
	tag        uint64
	// cost is how long the answer takes; due orders the questions that wait.
	cost  endive.Interval
	dueAt time.Time
}

// adviceQueue asks the advice service, one question at a time.
type adviceQueue struct {
	cell *Cell

	mu sync.Mutex
	// queued are in the order of their due times.
	queued []adviceRequest
	// backlog is the cost of the questions that wait or are being answered.
	backlog endive.Interval
	// busyUntil is when the question that is being answered has its answer.
	busyUntil time.Time
	// wake is filled when a question comes.
	wake chan struct{}
}

func newAdviceQueue(c *Cell) *adviceQueue { return &adviceQueue{cell: c, wake: make(chan struct{}, 1)} }

// costDelayFactor is how long a question waits, against its cost, for others that come
// later and are answered faster. It answers backlogs in which questions that take
// half a second stand beside ones that take 20 ms.
const costDelayFactor = 2

// enqueue queues a question. It never blocks; one that finds no room is answered as
// failed.
func (q *adviceQueue) enqueue(r adviceRequest) {
	r.dueAt = q.cell.Clock.Now().Add(costDelayFactor * time.Duration(r.cost))
	q.mu.Lock()
	full := len(q.queued) >= maxQueuedRequests
	if !full {
		q.backlog += r.cost
		position := sort.Search(len(q.queued), func(i int) bool { return q.queued[i].dueAt.After(r.dueAt) })
		q.queued = slices.Insert(q.queued, position, r)
	}
	q.mu.Unlock()
	if full {
		q.deliver(r, endive.Advice{}, false)
		return
	}
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// dequeue returns the question to ask now, if there is one.
func (q *adviceQueue) dequeue() (adviceRequest, bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.queued) == 0 {
		return adviceRequest{}, false
	}
	r := q.queued[0]
	q.queued = q.queued[1:]
	q.busyUntil = q.cell.Clock.Now().Add(time.Duration(r.cost))
	return r, true
}

// queueDelay returns how long a question of some cost would wait for those before it.
func (q *adviceQueue) queueDelay(cost endive.Interval) time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.cell.Clock.Now()
	due := now.Add(costDelayFactor * time.Duration(cost))
	delay := max(0, q.busyUntil.Sub(now))
	for _, r := range q.queued {
		if r.dueAt.After(due) {
			break
		}
		delay += time.Duration(r.cost)
	}
	return delay
}

// queuedCost returns the cost of the questions that wait or are being answered.
func (q *adviceQueue) queuedCost() endive.Interval {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.backlog
}

// finish takes a question out of the backlog.
func (q *adviceQueue) finish(r adviceRequest) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.backlog -= r.cost
}

func (q *adviceQueue) run() {
	for q.cell.ctx.Err() == nil {
		if r, ok := q.dequeue(); ok {
			q.process(r)
			continue
		}
		select {
		case <-q.wake:
		case <-q.cell.ctx.Done():
		}
	}
}

func (q *adviceQueue) process(r adviceRequest) {
	defer q.finish(r)
	if q.cell.Clock.Now().After(r.dueAt.Add(maxQueueWait)) {
		q.deliver(r, endive.Advice{}, false)
		return
	}
	ctx, cancel := context.WithTimeout(q.cell.ctx, adviceCallTimeout)
	defer cancel()
	advice, err := q.cell.Advisor.Advise(ctx, r.step, r.workers)
	if err != nil {
		q.cell.Log.Warn("advice failed", "step", string(r.step), "workers", len(r.workers), "error", err.Error())
	}
	q.deliver(r, advice, err == nil)
}

// deliver gives the advice to whoever asked.
func (q *adviceQueue) deliver(r adviceRequest, advice endive.Advice, ok bool) {
	if r.requester != "" {
		q.sendAnswer(r, advice, ok)
		return
	}
	if r.fromHolder {
		r.pool.sendToFlow(flow.AdviceResult{
			Step: r.step, Workers: r.workers, Cost: r.cost, OK: ok, Grants: advice.Grants, Expiry: advice.Validity.After(q.cell.Clock.Now()),
		})
		return
	}
	if ok {
		r.pool.reportAdvice(r, advice)
	}
}

// enqueueRemote queues a question of another entry's holder.
func (q *adviceQueue) enqueueRemote(from endive.EntryID, m *wire.AdviceAsk) {
	r := adviceRequest{
		step: endive.StepID(m.GetStep()), workers: workerIDs(m.GetWorkers()), requester: from, tag: m.GetTag(),
		cost: endive.Interval(time.Duration(m.GetCostMillis()) * time.Millisecond),
	}
	q.enqueue(r)
}

// sendAnswer gives the advice to the entry that asked.
func (q *adviceQueue) sendAnswer(r adviceRequest, advice endive.Advice, ok bool) {
	message := &wire.AdviceAnswer{Tag: r.tag, Answered: ok, Good: grantsToWire(advice.Grants), ValidityMillis: time.Duration(advice.Validity).Milliseconds(),
		BacklogMillis: time.Duration(q.queuedCost() - r.cost).Milliseconds()}
	q.cell.peers.mesh.Send(r.requester, message)
}
