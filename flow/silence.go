package flow

import (
	"time"

	"endiveroute.example/endive"
)

// A worker that doesn't answer has not necessarily crashed: the network between it and the holder
// may be congested, or the holder slow. The platform shows which: a live worker renews its
// registration. The runs of such a worker may have succeeded, and the worker may have reported that
// in an answer that was lost. Their tasks would be executed twice if they started elsewhere once
// the leases have expired. So the holder waits for the worker's report, and keeps its leases alive,
// but only for a limited time: a task that nobody runs may not be forgotten.

const (
	// aliveAfterAnswer is how long after a worker's last answer the platform must have heard it for
	// the worker to count as alive. A worker may crash up to pollWait after its last answer, and may
	// renew its registration just before.
	aliveAfterAnswer = 1500 * time.Millisecond
	// maxLateRenewal is how long after a late answer the leases of a worker are renewed although it
	// doesn't answer: its next answer is probably late as well.
	maxLateRenewal = 3 * time.Second
	// maxSilentRenewal is how long after a worker's last answer its leases are renewed.
	maxSilentRenewal = 6 * time.Second
	// maxSilence is how long after a worker's last answer its runs are kept for its report.
	maxSilence = 10 * time.Second
)

// recordAnswer records an answer to a poll. What a late answer says of the worker's clock counts only if
// it is closer to the time than what is known.
func (w *worker) recordAnswer(now, sentAt time.Time, clock endive.WorkerTime, late bool) {
	w.answeredAt, w.reportedAfter, w.answersLate = now, sentAt, late
	if !late || w.clock.receivedAt.IsZero() || clock > w.clock.estimate(now) {
		w.clock = clockReading{workerTime: clock, requestedAt: sentAt, receivedAt: now}
	}
	w.lastReport = clock
}

// seenAliveAt returns the latest time at which the worker was surely alive by its answers; zero if there
// are none. A late answer may be as old as its poll.
func (w *worker) seenAliveAt() time.Time {
	if w.answersLate {
		return endive.Latest(w.clock.receivedAt, w.reportedAfter)
	}
	return w.clock.receivedAt
}

// recordHeard records that workers have renewed their registrations.
func (m *Machine) recordHeard(e WorkersHeard) {
	for _, id := range e.Workers {
		if w := m.workers[id]; w != nil {
			w.heardAt = endive.Latest(w.heardAt, e.Since)
		}
	}
}

// aliveButSilent reports whether the platform has heard the worker well after its last answer to
// this holder, and still lists it.
func (w *worker) aliveButSilent() bool {
	return w.listed && !w.addressReused && !w.answeredAt.IsZero() && w.heardAt.After(w.answeredAt.Add(aliveAfterAnswer))
}

// renewedUntil returns until when the leases of a worker that doesn't answer are renewed; the zero
// time for not at all.
func (w *worker) renewedUntil() time.Time {
	switch {
	case w.aliveButSilent():
		return w.answeredAt.Add(maxSilentRenewal)
	case w.answersLate:
		return w.answeredAt.Add(maxLateRenewal)
	default:
		return time.Time{}
	}
}

// reportsUntil returns until when the holder waits for the report of a silent worker.
func (w *worker) reportsUntil() time.Time { return w.answeredAt.Add(maxSilence) }

// mayStillReport reports whether a worker that doesn't answer is expected to report how its runs
// have ended.
func (w *worker) mayStillReport(now time.Time) bool {
	return w.failedPolls > 0 && len(w.runs) > 0 && w.aliveButSilent() && now.Before(w.reportsUntil())
}

// waitsForReport reports whether the task of a run must not start elsewhere before its worker has
// reported how the run ended. A long-running task starts again however it ended, and so does a gang
// of which another member has ended.
func (r *run) waitsForReport() bool {
	t := r.task
	if t == nil || t.run != r || t.state >= taskSucceeded || t.step.occ.job.state.Ended() {
		return false
	}
	spec := t.step.spec
	return !spec.LongRunning && !spec.Speculative && (!spec.Gang || t.step.gang.run == r.number)
}

// dropExpiredRuns removes the runs of a silent worker whose leases have expired, but not those whose
// end the worker may still report.
func (m *Machine) dropExpiredRuns(w *worker) {
	leases := m.leaseEndsOf(w)
	expired := m.expiredRuns(w, leases)
	if len(expired) == 0 || !m.surelySilent(w, leases.of(expired[0])) {
		return
	}
	expired = m.removeEndedWithFormer(expired)
	if !w.mayStillReport(m.now) {
		m.dropRuns(w, expired, "its leases have expired")
		return
	}
	for _, r := range expired {
		if !r.waitsForReport() {
			m.logLost(r, "its leases have expired, and its worker is silent")
			m.removeRun(r)
		}
	}
}

// acceptsLateReport reports whether the answer to an earlier poll says something new: no newer
// answer of the worker has been received.
func (w *worker) acceptsLateReport(report endive.PollReport) bool {
	if !report.StartTime.IsZero() && !w.info.StartTime.IsZero() && !report.StartTime.Equal(w.info.StartTime) {
		return false
	}
	return report.Clock > w.lastReport
}
