package flow

import "time"

// A step with tasks that could start may wait for capacity, for advice or for an earlier holder's
// runs. While it waits, nothing happens to it that would be logged, so the scheduling pass logs
// from time to time what it waits for, and its place in the order.

const (
	// waitLogAge is how long tasks wait until that is logged. waitLogPeriod is the time between two
	// lines about the same step.
	waitLogAge    = 2 * time.Second
	waitLogPeriod = 4 * time.Second
	// maxWaitLines is the maximum number of lines about waiting steps in a second.
	maxWaitLines = 8
)

// waitReason is what the tasks of a step wait for.
type waitReason string

const (
	waitsForCapacity      waitReason = "work that goes first leaves no capacity on workers that may run it"
	waitsForAdvice        waitReason = "an advice request is in flight"
	waitsToRequest        waitReason = "it may not request advice yet"
	waitsForEarlierHolder waitReason = "an earlier holder may have started it on a worker that doesn't answer"
	waitsForDrains        waitReason = "its members don't all fit at the same time, and workers are drained for it"
	waitsForMembers       waitReason = "its members don't all fit at the same time, and no workers are drained for it"
	waitsForIsolation     waitReason = "it may crash its worker, and no worker can be kept from other starts for it yet"
	waitsToRetry          waitReason = "its tasks pause before they start again, or their last end isn't recorded yet"
)

// waitLog limits the lines about waiting steps.
type waitLog struct {
	// position counts the steps with waiting tasks that the current scheduling pass has considered.
	position int
	// lines are the lines written until resetAt.
	lines   int
	resetAt time.Time
}

// beginPass starts to count the waiting steps of a scheduling pass.
func (l *waitLog) beginPass(now time.Time) {
	l.position = 0
	if !now.Before(l.resetAt) {
		l.lines, l.resetAt = 0, now.Add(time.Second)
	}
}

// waits records that tasks of a step wait, and logs it if they have waited for long.
func (m *Machine) waits(s *step, tasks int, reason waitReason) {
	if s.waitingSince.IsZero() {
		s.waitingSince, s.waitLoggedAt = m.now, m.now.Add(waitLogAge-waitLogPeriod)
	}
	if due := s.waitLoggedAt.Add(waitLogPeriod); due.After(m.now) {
		m.schedulePass(due)
		return
	}
	if m.waitLog.lines == maxWaitLines {
		m.schedulePass(m.now.Add(time.Second))
		return
	}
	m.waitLog.lines++
	s.waitLoggedAt = m.now
	m.schedulePass(m.now.Add(waitLogPeriod))
	j := s.occ.job
	m.logDecision(Decision{Kind: DecisionJob, Job: j.id, Outcome: "waits", Reason: string(reason) + ": " + formatInt(int64(tasks)) + " tasks of step " + string(s.id) +
		" for " + m.now.Sub(s.waitingSince).Round(time.Millisecond).String() + ", " + formatInt(int64(m.waitLog.position)) + " waiting steps go first, tier " +
		formatInt(int64(j.rank.tier)) + ", rank " + formatInt(int64(j.rank.queue)) + "; each needs " + s.spec.Reserved().String() + ", " +
		m.advice.freeCapacity.String() + " left in this pass; " + formatInt(int64(len(s.tickets.eligible))) + " workers may run it"})
}

// restartWait makes the wait of a step begin anew, since some of its tasks have started.
func (s *step) restartWait() { s.waitingSince = time.Time{} }

// adviceWaitReason returns what a step waits for whose tasks would fit.
func (m *Machine) adviceWaitReason(s *step) waitReason {
	switch {
	case m.awaitsTakeover(s):
		return waitsForEarlierHolder
	case s.tickets.requestInFlight(m.now):
		return waitsForAdvice
	default:
		return waitsToRequest
	}
}

// gangWaitReason returns what a gang waits for that can't start now.
func (m *Machine) gangWaitReason(s *step) waitReason {
	switch {
	case s.gang.reservedWorkers != nil || !s.tickets.surveyed() || s.tickets.requestInFlight(m.now):
		return m.adviceWaitReason(s)
	case len(s.gang.drainedWorkers) > 0:
		return waitsForDrains
	default:
		return waitsForMembers
	}
}
