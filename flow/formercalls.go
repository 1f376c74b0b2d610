package flow

import (
	"maps"
	"slices"
	"time"

	"endiveroute.example/endive"
)

// A worker that restarts under its id carries out calls that were meant for its former incarnation, also calls that
// were sent before the restart and got no answer. The lease in such a call is by the former clock, far in the future of the
// new one, and the worker shortens it to MaxLeaseDuration. So a run that the known incarnation hasn't listed may be on
// a later one, with the longest lease from the last call that may have been carried out.

// maxCallDelay is how much later a worker may carry out a call that got no answer.
const maxCallDelay = 12 * time.Second

// lateStart is the last order to start a task that got no answer.
type lateStart struct {
	// until is when it can't be carried out any more.
	until time.Time
	// sentTo is the number of the worker's incarnation that was known when no answer had come.
	sentTo int
}

// longestLease returns the longest time for which a worker can hold a lease after it has carried out a call, by the
// holder's clock.
func (m *Machine) longestLease() time.Duration {
	return longestDuration(time.Duration(m.settings.MaxLeaseDuration)) + clockErrorMargin + leaseMargin
}

// lateCallsUntil returns until when the worker may carry out a call with a lease that was sent before now: an order to
// start, or a poll.
func (m *Machine) lateCallsUntil(w *worker) time.Time {
	until := w.lateCallsUntil
	for _, r := range w.runs {
		if r.startInFlight() {
			until = endive.Latest(until, r.sentAt.Add(maxCallDelay))
		}
	}
	for _, poll := range w.poll.open {
		until = endive.Latest(until, poll.lateUntil())
	}
	return until
}

// recordLatePoll records that a poll that renews leases got no answer, and may be carried out late.
func (m *Machine) recordLatePoll(w *worker, poll openPoll, result OrderResult) {
	if result == OrderUnknown {
		w.lateCallsUntil = endive.Latest(w.lateCallsUntil, poll.lateUntil())
	}
}

// recordStartCall records when the worker carried out an order to start, or until when it may still do so.
func (m *Machine) recordStartCall(e StartResult) {
	w := m.workers[e.Worker]
	if w == nil {
		return
	}
	switch e.Result {
	case OrderAnswered:
		w.startAnsweredAt = m.now
	case OrderUnknown:
		w.lateCallsUntil = endive.Latest(w.lateCallsUntil, m.now.Add(maxCallDelay))
		w.lateStarts[e.Task] = lateStart{until: m.now.Add(maxCallDelay), sentTo: w.incarnations}
	case OrderNotSent, OrderRefused:
	}
}

// leaseEnds are the times at which the leases of a worker's runs have surely expired, by where the runs may be.
type leaseEnds struct {
	// known holds on the known incarnation of the worker, anywhere on any of them.
	known, anywhere time.Time
	// longRunning holds for long-running tasks on any incarnation. They must not stay away for as long as a late call may
	// take: their calls count as carried out when they were sent.
	longRunning time.Time
}

// leaseEndsOf returns when the leases of the worker's runs have surely expired.
func (m *Machine) leaseEndsOf(w *worker) leaseEnds {
	known, lastCall := w.leasesExpireAt(), endive.Latest(w.startAnsweredAt, m.lateCallsUntil(w))
	return leaseEnds{
		known:       known,
		anywhere:    endive.Latest(known, lastCall.Add(m.longestLease())),
		longRunning: endive.Latest(known, w.lastLeaseAt.Add(maxSendDelay+m.longestLease())),
	}
}

// of returns when the lease of a run has surely expired.
func (l leaseEnds) of(r *run) time.Time {
	switch {
	case !r.formerLeaseEnd.IsZero():
		return r.formerLeaseEnd
	case r.isKnownPlace():
		return l.known
	case r.spec != nil && r.spec.LongRunning:
		return l.longRunning
	default:
		return l.anywhere
	}
}

// isKnownPlace reports whether the run is on the known incarnation of its worker, and can be on no later one.
func (r *run) isKnownPlace() bool {
	return r.reported && !r.worker.lateStarts[r.id].until.After(r.worker.seenAliveAt())
}

// mayStartLate reports whether a run stays until an order to start it on its worker can't be carried out late any more.
// Long-running tasks don't wait for that. Members of gangs wait without a run, so that the others can be stopped.
func (m *Machine) mayStartLate(r *run) bool {
	if r.spec == nil || r.spec.LongRunning || r.spec.Gang {
		return false
	}
	return r.worker.lateStarts[r.id].until.After(m.now)
}

// recordLateStart records that a task whose run is removed may be started late by the run's worker, if that has restarted
// since: it may do so again, and the next incarnation refuses nothing. Long-running tasks don't wait for that.
func (r *run) recordLateStart() {
	late := r.worker.lateStarts[r.id]
	if late.sentTo < r.worker.incarnations && !r.task.step.spec.LongRunning && late.until.After(r.task.lateUntil) {
		r.task.lateOn, r.task.lateUntil = r.worker, late.until
	}
}

// awaitsLateStart reports whether a task without a run waits until an order to start it can't be carried out late any more.
// If the worker hasn't answered since, the order may just have been carried out.
func (m *Machine) awaitsLateStart(t *task) bool {
	if t.lateOn == nil {
		return false
	}
	until := t.lateUntil
	if !until.After(m.now) && t.lateOn.seenAliveAt().Before(until) {
		until = until.Add(m.longestLease())
	}
	if !until.After(m.now) {
		t.lateOn = nil
		return false
	}
	m.schedulePass(until)
	return true
}

// forgetLateStarts forgets the orders to start that can't be carried out late any more, now that the worker has answered.
func (w *worker) forgetLateStarts() {
	maps.DeleteFunc(w.lateStarts, func(_ endive.TaskID, late lateStart) bool { return !late.until.After(w.seenAliveAt()) })
}

// expiredRuns returns the runs of a worker whose leases have surely expired, in the order of these times.
func (m *Machine) expiredRuns(w *worker, leases leaseEnds) []*run {
	expired := slices.DeleteFunc(w.sortedRuns(), func(r *run) bool {
		expiresAt := leases.of(r)
		return expiresAt.IsZero() || m.now.Before(expiresAt)
	})
	slices.SortStableFunc(expired, func(a, b *run) int { return leases.of(a).Compare(leases.of(b)) })
	return expired
}

// removeEndedWithFormer removes those of the runs that have surely ended with an earlier incarnation of their worker, and
// returns the others.
func (m *Machine) removeEndedWithFormer(runs []*run) []*run {
	var others []*run
	for _, r := range runs {
		if r.formerLeaseEnd.IsZero() {
			others = append(others, r)
			continue
		}
		m.removeAbsent(r, "its worker has restarted, and no order to start it may still be carried out")
	}
	return others
}

// nextExpiry returns when the next lease of a run on the worker will surely have expired; zero if all have.
func (m *Machine) nextExpiry(w *worker) time.Time {
	var next time.Time
	leases := m.leaseEndsOf(w)
	for _, r := range w.runs {
		if expiresAt := leases.of(r); expiresAt.After(m.now) {
			next = endive.Earliest(next, expiresAt)
		}
	}
	return next
}
