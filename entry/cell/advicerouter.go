package cell

import (
	"math"
	"sync"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/flow"
	"endiveroute.example/endive/wire"
)

const (
	// answerMargin is added to the expected response time of a request through another
	// entry to get the request's time-out.
	answerMargin = 900 * time.Millisecond
	// maxExtension limits the extension of the request's time-out while messages of the other
	// entry still arrive: the other entry may be busy with the requests of many entries.
	maxExtension = 3 * time.Second
	// lateAnswerAge is the age limit of late answers, counted from the sending of the request.
	lateAnswerAge = 5 * time.Second
)

// adviceRouter distributes requests to the advice service over the entries, because the
// service processes the requests of each entry sequentially.
type adviceRouter struct {
	cell     *Cell
	reserved reservedEntries

	mu      sync.Mutex
	lastTag uint64
	// outstanding are the requests sent through other entries, by tag.
	outstanding map[uint64]*remoteRequest
	// expired are the requests that timed out or could not be sent, by tag. A late answer
	// still contains the eligible workers.
	expired map[uint64]*remoteRequest
	// targets are the entries that can send requests, including this one as localTarget.
	targets map[endive.EntryID]*routeTarget
}

// remoteRequest is a request that another entry sends to the advice service for this one.
type remoteRequest struct {
	router  *adviceRouter
	tag     uint64
	target  endive.EntryID
	request adviceRequest
	// sentAt is when the request was sent to the remote entry. dueAt is when the request
	// times out.
	sentAt, dueAt time.Time
	timer         *time.Timer
}

// localTarget is the key of this entry in adviceRouter.targets.
const localTarget = endive.EntryID("")

func newAdviceRouter(c *Cell) *adviceRouter {
	return &adviceRouter{cell: c, lastTag: initialTag(c), outstanding: make(map[uint64]*remoteRequest), expired: make(map[uint64]*remoteRequest), targets: map[endive.EntryID]*routeTarget{localTarget: {}}}
}

// initialTag returns a tag above those of all earlier runs of this entry, because answers
// to requests of an earlier run may still arrive.
func initialTag(c *Cell) uint64 { return uint64(c.Clock.Now().UnixNano()) }

// setPeers updates the targets to the entries that this one has sessions with, and sends
// the new number of advice clients to the pools that this entry holds.
func (r *adviceRouter) setPeers(others endive.Peers) {
	r.mu.Lock()
	seen := map[endive.EntryID]bool{localTarget: true}
	for _, other := range others {
		seen[other.ID] = true
		if r.targets[other.ID] == nil {
			r.targets[other.ID] = &routeTarget{otherRegion: other.Region != r.cell.Settings.Region}
		}
	}
	for id := range r.targets {
		if !seen[id] {
			delete(r.targets, id)
		}
	}
	count := len(r.targets)
	r.mu.Unlock()
	for _, p := range r.cell.allPools() {
		if p.holding.Load() {
			p.sendToFlow(flow.AdviceClientsChanged{Count: count})
		}
	}
}

// route sends a request through the entry that is expected to answer it first.
func (r *adviceRouter) route(request adviceRequest) { r.routeWithin(request, unlimitedDelay) }

// unlimitedDelay is a maximum delay that is never exceeded.
const unlimitedDelay = time.Duration(math.MaxInt64)

// routeWithin routes a request like route, unless it would be queued for longer than
// maxDelay. It reports whether the request was routed.
func (r *adviceRouter) routeWithin(request adviceRequest, maxDelay time.Duration) bool {
	now := r.cell.Clock.Now()
	r.mu.Lock()
	r.targets[localTarget].busyUntil = now.Add(r.cell.adviceQueue.queueDelay(request.cost))
	entry := r.fastestTarget(now, request.cost)
	target := r.targets[entry]
	if target.busyUntil.Sub(now) > maxDelay {
		r.mu.Unlock()
		return false
	}
	target.busyUntil = endive.Latest(target.busyUntil, now).Add(time.Duration(request.cost))
	if entry == localTarget {
		r.mu.Unlock()
		r.cell.adviceQueue.enqueue(request)
		return true
	}
	r.lastTag++
	sent := &remoteRequest{router: r, tag: r.lastTag, target: entry, request: request, sentAt: now, dueAt: target.busyUntil.Add(answerMargin)}
	r.outstanding[sent.tag] = sent
	target.recordSent(sent.dueAt)
	sent.timer = time.AfterFunc(sent.dueAt.Sub(now), sent.handleTimeout)
	r.mu.Unlock()
	message := &wire.AdviceAsk{
		Tag: sent.tag, Step: string(request.step), Workers: workerNames(request.workers), CostMillis: time.Duration(request.cost).Milliseconds(),
	}
	if !r.cell.peers.mesh.Send(entry, message) {
		sent.giveUp(false)
	}
	return true
}

// fastestTarget returns the entry to send a request of the given cost through: the one
// whose queue is free first, with penalties for the round trip and for long requests on
// reserved entries. Other entries that hold a pool are skipped, since they have requests
// of their own.
func (r *adviceRouter) fastestTarget(now time.Time, cost endive.Interval) endive.EntryID {
	best, bestAt := localTarget, time.Time{}
	holders := r.cell.holders()
	for id, target := range r.targets {
		if now.Before(target.skipUntil) || id != localTarget && holders[id] {
			continue
		}
		entry := id
		if id == localTarget {
			entry = r.cell.Settings.Name
		}
		at := endive.Latest(target.busyUntil, now).Add(routingPenalty(cost, r.reserved.isReserved(entry), target.otherRegion, id == localTarget))
		if bestAt.IsZero() || at.Before(bestAt) || at.Equal(bestAt) && r.cell.tieBreak(id) > r.cell.tieBreak(best) {
			best, bestAt = id, at
		}
	}
	return best
}

// removeOutstanding removes and returns the outstanding request with a tag. It returns nil if
// there is no such request, or if the request was sent to another entry.
func (r *adviceRouter) removeOutstanding(tag uint64, entry endive.EntryID) *remoteRequest {
	r.mu.Lock()
	defer r.mu.Unlock()
	sent := r.outstanding[tag]
	if sent == nil || sent.target != entry {
		return nil
	}
	delete(r.outstanding, tag)
	sent.timer.Stop()
	return sent
}

// handleTimeout extends the time-out of a long request if the remote entry has sent a
// message since the request was sent. A short request fails instead, so that it can be
// routed to another entry: the step that needs the advice can't wait longer.
func (r *remoteRequest) handleTimeout() {
	router := r.router
	now := router.cell.Clock.Now()
	responsive := router.cell.peers.receivedSince(r.target, r.sentAt)
	if responsive && r.request.cost >= longRequestCost && now.Before(r.dueAt.Add(maxExtension)) {
		router.mu.Lock()
		defer router.mu.Unlock()
		if router.outstanding[r.tag] == r {
			r.timer.Reset(answerMargin)
		}
		return
	}
	r.giveUp(responsive)
}

// giveUp fails a request. If the remote entry has sent a message since the request was
// sent, it is responsive and counts as busy; otherwise it gets no requests for a while, and then one at a time.
func (r *remoteRequest) giveUp(responsive bool) {
	router := r.router
	if router.removeOutstanding(r.tag, r.target) == nil {
		return
	}
	now := router.cell.Clock.Now()
	router.mu.Lock()
	if target := router.targets[r.target]; target != nil {
		target.busyUntil = now.Add(answerMargin)
		if responsive {
			target.recordResponse(r.sentAt)
		} else {
			target.recordSilence(r.sentAt, now)
		}
	}
	for tag, old := range router.expired {
		if now.Sub(old.sentAt) > lateAnswerAge {
			delete(router.expired, tag)
		}
	}
	router.expired[r.tag] = r
	router.mu.Unlock()
	r.router.cell.Log.Warn("advice request through another entry failed", "entry", string(r.target), "step", string(r.request.step))
	r.router.cell.adviceQueue.deliver(r.request, endive.Advice{}, false)
}

// handleAnswer delivers the answer that another entry received.
func (r *adviceRouter) handleAnswer(from endive.EntryID, m *wire.AdviceAnswer) {
	sent := r.removeOutstanding(m.GetTag(), from)
	if sent == nil {
		r.handleLateAnswer(from, m)
		return
	}
	advice := endive.Advice{
		Grants: grantsFromWire(m.GetGood()), Validity: endive.Interval(time.Duration(m.GetValidityMillis()) * time.Millisecond),
	}
	r.recordResponse(from, sent.sentAt)
	r.updateBacklog(from, time.Duration(m.GetBacklogMillis())*time.Millisecond)
	r.cell.adviceQueue.deliver(sent.request, advice, m.GetAnswered())
}

// recordResponse records that an entry has answered a request.
func (r *adviceRouter) recordResponse(from endive.EntryID, sentAt time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if target := r.targets[from]; target != nil {
		target.recordResponse(sentAt)
	}
}

// handleLateAnswer reports the answer to a request that has timed out to the pool's holder:
// the eligible workers are still valid.
func (r *adviceRouter) handleLateAnswer(from endive.EntryID, m *wire.AdviceAnswer) {
	r.mu.Lock()
	sent := r.expired[m.GetTag()]
	if sent != nil && sent.target == from {
		delete(r.expired, m.GetTag())
	}
	r.mu.Unlock()
	if sent == nil || sent.target != from || !m.GetAnswered() || sent.request.requester != "" {
		return
	}
	validity := endive.Interval(time.Duration(m.GetValidityMillis()) * time.Millisecond)
	sent.request.pool.reportAdvice(sent.request, endive.Advice{Grants: grantsFromWire(m.GetGood()), Validity: validity})
}

// updateBacklog applies the backlog that an entry reports for the requests of all entries.
// It never lowers the estimate, because requests that this entry has just sent may not be
// in the report yet.
func (r *adviceRouter) updateBacklog(from endive.EntryID, backlog time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if target := r.targets[from]; target != nil {
		target.busyUntil = endive.Latest(target.busyUntil, r.cell.Clock.Now().Add(backlog))
	}
}
