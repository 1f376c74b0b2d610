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
	// helperMargin is how much longer than its cost a question to another entry may
	// take before it is given up.
	helperMargin = 900 * time.Millisecond
	// helperPatience bounds how much longer it may take where the entry is heard of
	// meanwhile: it answers the questions of many.
	helperPatience = 3 * time.Second
	// lateAge is how long the answer to a question that was given up still counts.
	lateAge = 5 * time.Second
	// helperPause is how long an entry that didn't answer isn't asked.
	helperPause = 4 * time.Second
)

// helpers spreads the questions to the advice service over the entries, each of
// which is answered one after the other.
type helpers struct {
	cell  *Cell
	lanes lanes

	mu   sync.Mutex
	last uint64
	// waiting are the questions that other entries ask for us.
	waiting map[uint64]*helped
	// late are those that were given up, whose answers still tell which workers are
	// good.
	late map[uint64]*helped
	// known are the entries that may be asked, this one included under "".
	known map[endive.EntryID]*helper
}

// helper is what is known of one entry's queue at the advice service.
type helper struct {
	busyUntil  time.Time
	avoidUntil time.Time
	// far says that the entry is in another region.
	far bool
}

// helped is a question that another entry asks for us.
type helped struct {
	helpers  *helpers
	tag      uint64
	to       endive.EntryID
	question question
	// sentAt is when the question was sent, dueAt when its answer is due.
	sentAt, dueAt time.Time
	timer         *time.Timer
}

// self is the key of this entry among the helpers.
const self = endive.EntryID("")

func newHelpers(c *Cell) *helpers {
	return &helpers{cell: c, last: firstTag(c), waiting: make(map[uint64]*helped), late: make(map[uint64]*helped), known: map[endive.EntryID]*helper{self: {}}}
}

// firstTag returns a tag that no earlier run of this entry has reached, since answers
// to an earlier run may still come.
func firstTag(c *Cell) uint64 { return uint64(c.Clock.Now().UnixNano()) }

// changed takes over which entries there are sessions with.
func (h *helpers) changed(others endive.Peers) {
	h.mu.Lock()
	seen := map[endive.EntryID]bool{self: true}
	for _, one := range others {
		seen[one.ID] = true
		if h.known[one.ID] == nil {
			h.known[one.ID] = &helper{far: one.Region != h.cell.Settings.Region}
		}
	}
	for id := range h.known {
		if !seen[id] {
			delete(h.known, id)
		}
	}
	count := len(h.known)
	h.mu.Unlock()
	for _, p := range h.cell.allPools() {
		if p.holds.Load() {
			p.tell(flow.AdviceClientsChanged{Count: count})
		}
	}
}

// ask has a question asked by the entry that can ask it soonest.
func (h *helpers) ask(q question) { h.askWithin(q, maxTime) }

// maxTime stands for no bound.
const maxTime = time.Duration(math.MaxInt64)

// askWithin does so if the question waits for others no longer than a bound, and
// reports whether it does.
func (h *helpers) askWithin(q question, bound time.Duration) bool {
	now := h.cell.Clock.Now()
	h.mu.Lock()
	h.known[self].busyUntil = now.Add(h.cell.adviser.waitFor(q.cost))
	to := h.soonest(now, q.cost)
	one := h.known[to]
	if one.busyUntil.Sub(now) > bound {
		h.mu.Unlock()
		return false
	}
	one.busyUntil = endive.Latest(one.busyUntil, now).Add(time.Duration(q.cost))
	if to == self {
		h.mu.Unlock()
		h.cell.adviser.ask(q)
		return true
	}
	h.last++
	asked := &helped{helpers: h, tag: h.last, to: to, question: q, sentAt: now, dueAt: one.busyUntil.Add(helperMargin)}
	h.waiting[asked.tag] = asked
	asked.timer = time.AfterFunc(asked.dueAt.Sub(now), asked.overdue)
	h.mu.Unlock()
	message := &wire.AdviceAsk{
		Tag: asked.tag, Step: string(q.step), Workers: namesOf(q.workers), CostMillis: time.Duration(q.cost).Milliseconds(),
	}
	if !h.cell.peers.mesh.Send(to, message) {
		asked.expire(false)
	}
	return true
}

// soonest returns the entry that should be asked a question of some cost: the one
// that is free soonest, but for the way there and for long questions in the quick
// lane. Holders of pools are left to their own questions.
func (h *helpers) soonest(now time.Time, cost endive.Interval) endive.EntryID {
	best, bestAt := self, time.Time{}
	holders := h.cell.holders()
	for id, one := range h.known {
		if now.Before(one.avoidUntil) || id != self && holders[id] {
			continue
		}
		lane := id
		if id == self {
			lane = h.cell.Settings.Name
		}
		at := endive.Latest(one.busyUntil, now).Add(detour(cost, h.lanes.isQuick(lane), one.far, id == self))
		if bestAt.IsZero() || at.Before(bestAt) || at.Equal(bestAt) && h.cell.order(id) > h.cell.order(best) {
			best, bestAt = id, at
		}
	}
	return best
}

// take ends the waiting for a question that an entry was asked; it returns nil if it
// has ended already, or if another entry was asked.
func (h *helpers) take(tag uint64, to endive.EntryID) *helped {
	h.mu.Lock()
	defer h.mu.Unlock()
	asked := h.waiting[tag]
	if asked == nil || asked.to != to {
		return nil
	}
	delete(h.waiting, tag)
	asked.timer.Stop()
	return asked
}

// overdue waits on for the answer to a long question by an entry that was heard of since it
// was asked. A quick one is asked elsewhere: its work has no time to wait.
func (a *helped) overdue() {
	h := a.helpers
	now := h.cell.Clock.Now()
	heard := h.cell.peers.heardSince(a.to, a.sentAt)
	if heard && a.question.cost >= longQuestion && now.Before(a.dueAt.Add(helperPatience)) {
		h.mu.Lock()
		defer h.mu.Unlock()
		if h.waiting[a.tag] == a {
			a.timer.Reset(helperMargin)
		}
		return
	}
	a.expire(heard)
}

// expire gives a question up. An entry that was heard of since is busy; one that wasn't is
// left alone.
func (a *helped) expire(heard bool) {
	h := a.helpers
	if h.take(a.tag, a.to) == nil {
		return
	}
	now := h.cell.Clock.Now()
	h.mu.Lock()
	if one := h.known[a.to]; one != nil {
		one.busyUntil = now.Add(helperMargin)
		if !heard {
			one.avoidUntil = now.Add(helperPause)
		}
	}
	for tag, old := range h.late {
		if now.Sub(old.sentAt) > lateAge {
			delete(h.late, tag)
		}
	}
	h.late[a.tag] = a
	h.mu.Unlock()
	a.helpers.cell.Log.Warn("an entry didn't ask for advice", "entry", string(a.to), "step", string(a.question.step))
	a.helpers.cell.adviser.answer(a.question, endive.Advice{}, false)
}

// answered takes in the answer of another entry.
func (h *helpers) answered(from endive.EntryID, m *wire.AdviceAnswer) {
	asked := h.take(m.GetTag(), from)
	if asked == nil {
		h.answeredLate(from, m)
		return
	}
	advice := endive.Advice{
		Grants: grantsIn(m.GetGood()), Validity: endive.Interval(time.Duration(m.GetValidityMillis()) * time.Millisecond),
	}
	h.heardBacklog(from, time.Duration(m.GetBacklogMillis())*time.Millisecond)
	h.cell.adviser.answer(asked.question, advice, m.GetAnswered())
}

// answeredLate takes in the answer to a question that was given up: which workers are good
// stays true.
func (h *helpers) answeredLate(from endive.EntryID, m *wire.AdviceAnswer) {
	h.mu.Lock()
	asked := h.late[m.GetTag()]
	if asked != nil && asked.to == from {
		delete(h.late, m.GetTag())
	}
	h.mu.Unlock()
	if asked == nil || asked.to != from || !m.GetAnswered() || asked.question.from != "" {
		return
	}
	validity := endive.Interval(time.Duration(m.GetValidityMillis()) * time.Millisecond)
	asked.question.pool.noteAdvice(asked.question, endive.Advice{Grants: grantsIn(m.GetGood()), Validity: validity})
}

// heardBacklog takes in how busy an entry is with questions of all holders. What
// this entry sent meanwhile may not be counted there yet.
func (h *helpers) heardBacklog(from endive.EntryID, backlog time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if one := h.known[from]; one != nil {
		one.busyUntil = endive.Latest(one.busyUntil, h.cell.Clock.Now().Add(backlog))
	}
}
