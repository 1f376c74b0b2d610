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
	// answerMargin is how much longer than its cost a question to another entry may
	// take before it is given up.
	answerMargin = 900 * time.Millisecond
	// maxExtension bounds how much longer it may take where the entry is heard of
	// meanwhile: it answers the questions of many.
	maxExtension = 3 * time.Second
	// lateAnswerAge is how long the answer to a question that was given up still counts.
	lateAnswerAge = 5 * time.Second
	// unresponsivePause is how long an entry that didn't answer isn't asked.
	unresponsivePause = 4 * time.Second
)

// adviceRouter spreads the questions to the advice service over the entries, each of
// which is answered one after the other.
type adviceRouter struct {
	cell     *Cell
	reserved reservedEntries

	mu      sync.Mutex
	lastTag uint64
	// outstanding are the questions that other entries ask for us.
	outstanding map[uint64]*remoteRequest
	// expired are those that were given up, whose answers still tell which workers are
	// good.
	expired map[uint64]*remoteRequest
	// targets are the entries that may be asked, this one included under "".
	targets map[endive.EntryID]*routeTarget
}

// routeTarget is what is known of one entry's queue at the advice service.
type routeTarget struct {
	busyUntil time.Time
	skipUntil time.Time
	// otherRegion says that the entry is in another region.
	otherRegion bool
}

// remoteRequest is a question that another entry asks for us.
type remoteRequest struct {
	router  *adviceRouter
	tag     uint64
	target  endive.EntryID
	request adviceRequest
	// sentAt is when the question was sent, dueAt when its answer is due.
	sentAt, dueAt time.Time
	timer         *time.Timer
}

// localTarget is the key of this entry among the targets.
const localTarget = endive.EntryID("")

func newAdviceRouter(c *Cell) *adviceRouter {
	return &adviceRouter{cell: c, lastTag: initialTag(c), outstanding: make(map[uint64]*remoteRequest), expired: make(map[uint64]*remoteRequest), targets: map[endive.EntryID]*routeTarget{localTarget: {}}}
}

// initialTag returns a tag that no earlier run of this entry has reached, since answers
// to an earlier run may still come.
func initialTag(c *Cell) uint64 { return uint64(c.Clock.Now().UnixNano()) }

// setPeers takes over which entries there are sessions with.
func (r *adviceRouter) setPeers(others endive.Peers) {
	r.mu.Lock()
	seen := map[endive.EntryID]bool{localTarget: true}
	for _, one := range others {
		seen[one.ID] = true
		if r.targets[one.ID] == nil {
			r.targets[one.ID] = &routeTarget{otherRegion: one.Region != r.cell.Settings.Region}
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

// route has a question asked by the entry that can ask it soonest.
func (r *adviceRouter) route(request adviceRequest) { r.routeWithin(request, unlimitedDelay) }

// unlimitedDelay stands for no bound.
const unlimitedDelay = time.Duration(math.MaxInt64)

// routeWithin does as route if the question waits for others no longer than a bound, and
// reports whether it does.
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

// fastestTarget returns the entry that should be asked a question of some cost: the one
// that is free soonest, but for the way there and for long questions in the quick
// lane. Holders of pools are left to their own questions.
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

// removeOutstanding ends the waiting for a question that an entry was asked; it returns nil if it
// has ended already, or if another entry was asked.
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

// handleTimeout waits on for the answer to a long question by an entry that was heard of since it
// was asked. A quick one is asked elsewhere: its work has no time to wait.
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

// giveUp gives a question up. An entry that was heard of since is busy; one that wasn't is
// left alone.
func (r *remoteRequest) giveUp(responsive bool) {
	router := r.router
	if router.removeOutstanding(r.tag, r.target) == nil {
		return
	}
	now := router.cell.Clock.Now()
	router.mu.Lock()
	if target := router.targets[r.target]; target != nil {
		target.busyUntil = now.Add(answerMargin)
		if !responsive {
			target.skipUntil = now.Add(unresponsivePause)
		}
	}
	for tag, old := range router.expired {
		if now.Sub(old.sentAt) > lateAnswerAge {
			delete(router.expired, tag)
		}
	}
	router.expired[r.tag] = r
	router.mu.Unlock()
	r.router.cell.Log.Warn("an entry didn't ask for advice", "entry", string(r.target), "step", string(r.request.step))
	r.router.cell.adviceQueue.deliver(r.request, endive.Advice{}, false)
}

// handleAnswer takes in the answer of another entry.
func (r *adviceRouter) handleAnswer(from endive.EntryID, m *wire.AdviceAnswer) {
	sent := r.removeOutstanding(m.GetTag(), from)
	if sent == nil {
		r.handleLateAnswer(from, m)
		return
	}
	advice := endive.Advice{
		Grants: grantsFromWire(m.GetGood()), Validity: endive.Interval(time.Duration(m.GetValidityMillis()) * time.Millisecond),
	}
	r.updateBacklog(from, time.Duration(m.GetBacklogMillis())*time.Millisecond)
	r.cell.adviceQueue.deliver(sent.request, advice, m.GetAnswered())
}

// handleLateAnswer takes in the answer to a question that was given up: which workers are good
// stays true.
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

// updateBacklog takes in how busy an entry is with questions of all holders. What
// this entry sent meanwhile may not be counted there yet.
func (r *adviceRouter) updateBacklog(from endive.EntryID, backlog time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if target := r.targets[from]; target != nil {
		target.busyUntil = endive.Latest(target.busyUntil, r.cell.Clock.Now().Add(backlog))
	}
}
