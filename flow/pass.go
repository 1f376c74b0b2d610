package flow

import (
	"time"

	"endiveroute.example/endive"
)

// pass starts whatever can start.
func (m *Machine) pass() {
	if !m.passAgainAt.IsZero() && !m.now.Before(m.passAgainAt) {
		m.passDue = true
		m.passAgainAt = time.Time{}
	}
	if !m.passDue || !m.mayStart() || m.now.Before(m.passAt) {
		return
	}
	m.passDue = false
	m.passAgainAt = time.Time{}
	m.passAt = m.now.Add(passPause + time.Duration(len(m.jobs))*passPausePerJob)
	m.advice.wanted, m.advice.planned = m.advice.wanted[:0], 0
	m.advice.room = endive.Resources{}
	m.advice.short = false
	m.pressed, m.pressing = m.pressing, false
	m.gangsWait, m.gangsWaiting = m.gangsWaiting, false
	m.draining, m.mostDraining = 0, m.mayDrain()
	m.starved = m.starved[:0]
	m.claims = claims{}
	for _, w := range m.ordered {
		if w.usable() {
			w.soon = m.endsWithin(w, askAheadOf)
			m.advice.room = m.advice.room.Add(w.free()).Add(w.soon)
		}
	}
	for _, j := range m.ranked() {
		for _, occ := range j.sortedOccs() {
			m.placeOccurrence(occ)
		}
	}
	m.preempt()
	m.status.crowd(m.advice.short, m.now)
	// What was set aside holds within one look only; it must not keep a gang from
	// asking about the workers that it waits for.
	for _, w := range m.ordered {
		w.setAside = endive.Resources{}
	}
}

// endsWithin returns what runs will probably give back while a question is on its way.
// Tickets for it are asked for ahead, or the room would stay empty until the answer
// comes.
func (m *Machine) endsWithin(w *worker, ahead time.Duration) endive.Resources {
	var soon endive.Resources
	for _, r := range w.runs {
		if r.task != nil && r.state == runRunning && !r.task.step.spec.LongRunning && m.left(r) < ahead {
			soon = soon.Add(r.need)
		}
	}
	return soon
}

// passAgain asks for another look at a time.
func (m *Machine) passAgain(at time.Time) { m.passAgainAt = endive.Earliest(m.passAgainAt, at) }

func (m *Machine) placeOccurrence(occ *occurrence) {
	if occ.left == 0 {
		return
	}
	for _, s := range occ.steps {
		if s.left == 0 || s.waiting == 0 {
			continue
		}
		if !s.ready() {
			m.foresee(s)
			continue
		}
		if s.occ.job.inheritedUnseen(m) {
			m.surveyAhead(s)
		}
		if s.spec.Gang {
			m.placeGang(s)
		} else {
			m.placeTasks(s)
		}
	}
}

// placeTasks starts the waiting tasks of a step where there is room.
func (m *Machine) placeTasks(s *step) {
	waits := 0
	var able []*worker
	if m.mayFit(s) {
		able = m.ableWorkers(s)
	}
	for _, t := range s.tasks {
		if !m.startable(t) {
			continue
		}
		w := m.choose(s, t, able)
		if w == nil {
			waits++
			continue
		}
		m.startRun(t, w, m.nextRun(t), m.placeReason(s, w))
		m.advice.room = m.advice.room.Sub(s.spec.Reserved())
	}
	if waits > 0 {
		m.press(s.occ.job)
		if !m.want(s, waits) {
			m.starve(s, waits)
		}
	}
}

// mayFit tells cheaply whether a task of the step could start anywhere, which in a
// backlog is mostly not so.
func (m *Machine) mayFit(s *step) bool {
	if !s.spec.Reserved().Fits(m.advice.room) {
		return false
	}
	return !m.needsTicket(s) || m.now.Add(ticketMargin).Before(s.tickets.newest)
}

// ableWorkers returns the workers on which a task of the step may start.
func (m *Machine) ableWorkers(s *step) []*worker {
	var able []*worker
	for _, w := range m.ordered {
		if m.fits(s, w) {
			able = append(able, w)
		}
	}
	return able
}

// startable reports whether a task waits for nothing but room.
func (m *Machine) startable(t *task) bool {
	if t.state != taskWaiting || t.run != nil {
		return false
	}
	if t.notBefore.After(m.now) {
		m.passAgain(t.notBefore)
		return false
	}
	return !m.mayRunUnseen(t)
}

// choose returns the best of the workers for a task, or nil.
func (m *Machine) choose(s *step, t *task, able []*worker) *worker {
	var best *worker
	var bestScore float64
	for _, w := range able {
		if !m.fits(s, w) || m.leavesEmpty(s, w) {
			continue
		}
		score := m.score(s, w)
		if t.avoid == w.id {
			score -= scoreAvoid
		}
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

// fits reports whether a task of a step may start on a worker now.
func (m *Machine) fits(s *step, w *worker) bool {
	return s.spec.Reserved().Fits(w.free()) && m.couldStart(s, w) && (!m.needsTicket(s) || s.tickets.valid(w.id, m.now))
}

// couldStart reports whether a task of a step may start on a worker as soon as there are
// room and a ticket.
func (m *Machine) couldStart(s *step, w *worker) bool {
	if !w.usable() || m.recorder.roster[w.id] == rosterAbsent || m.now.Before(w.health.avoidUntil) {
		return false
	}
	if s.spec.Label != "" && !w.self.HasLabel(s.spec.Label) {
		return false
	}
	if s.spec.MaxPerWorker > 0 && s.perWorker[w.id] >= s.spec.MaxPerWorker {
		return false
	}
	return !(s.spec.Opportunistic && w.serving > 0 || s.spec.Serves() && w.filling > 0)
}

// Weights of a worker's score. The larger ones decide first.
const (
	scoreAvoid = 100
	scoreData  = 50
	scoreSick  = 30
	// scoreWay prefers near workers for quick steps, and far ones for others.
	scoreWay = 2
	// scorePacked prefers the worker that the task fills best.
	scorePacked = 1
)

// score rates a worker for a task of a step; the highest is chosen.
func (m *Machine) score(s *step, w *worker) float64 {
	score := 0.0
	if s.spec.DataRack != "" && w.self.HasLabel(s.spec.DataRack) {
		score += scoreData
	}
	score -= scoreSick * w.health.doubt(m.now)
	if s.suitsWay(w) {
		score += scoreWay
	}
	left := w.free().Sub(s.spec.Reserved())
	score -= scorePacked * share(left, w.self.Capacity)
	return score
}

// share returns which part of a capacity is left, averaged over its dimensions.
func share(left, capacity endive.Resources) float64 {
	sum, dimensions := 0.0, 0.0
	for _, one := range inDimensions(left, capacity) {
		if one[1] > 0 {
			sum += float64(one[0]) / float64(one[1])
			dimensions++
		}
	}
	if dimensions == 0 {
		return 0
	}
	return sum / dimensions
}

func (m *Machine) placeReason(s *step, w *worker) string {
	j := s.occ.job
	return "tier " + number(int64(j.rank.tier)) + ", " + number(int64(s.waiting)) + " of the step wait, " +
		w.free().String() + " free, " + m.now.Sub(j.accepted).Round(time.Millisecond).String() + " after the acceptance"
}
