package flow

import (
	"time"

	"endiveroute.example/endive"
)

// tenure is the period in which this entry holds the pool under one epoch.
type tenure struct {
	active bool
	loaded bool
	epoch  endive.Epoch
	// beganAt is when the tenure began.
	beganAt time.Time
	// leaseEnd is when the lease of the pool ends. Nothing is started after it. The leases
	// of runs are still renewed until this entry learns of another holder, or may have missed one.
	leaseEnd time.Time
	// previousLeaseEnd is until when the previous holder may still start work, also work
	// submitted after this tenure began; zero if its lease has expired.
	previousLeaseEnd time.Time
	// takeoverDeadline is when all runs that an earlier holder started on workers that
	// haven't answered yet have surely ended; zero before the rows are loaded.
	takeoverDeadline time.Time
	// firstPoll is the lowest possible id of a poll of this tenure.
	firstPoll PollID
	// takeoverDone is true once no worker may hide runs of an earlier holder.
	takeoverDone bool
	// loadedAt is when the rows were loaded.
	loadedAt time.Time
	// workReadAt is a time such that all workflows that were stored before it are known; zero if none is.
	workReadAt time.Time
	// revision is the store revision up to which the rows of work were applied.
	revision endive.Revision
}

func (m *Machine) beginTenure(e TenureBegan) {
	m.reset()
	m.tenure = tenure{
		active: true, epoch: e.Epoch, beganAt: m.now, leaseEnd: e.LeaseEnd, previousLeaseEnd: e.PreviousLeaseEnd, firstPoll: PollID(m.stepCount),
	}
	m.quotas.division.Begin(e.Epoch)
	m.mergeForecasts(e.Forecasts)
	m.recorder.fence = Fence{Epoch: e.Epoch}
	m.recorder.fenceVersion = e.FenceVersion
	m.logDecision(Decision{Kind: DecisionTenure, Outcome: "began", Reason: "epoch " + formatInt(int64(e.Epoch))})
	m.emit(LoadSnapshot{Epoch: e.Epoch})
	m.updateWorkers()
}

// takeoverDeadlineNow returns when all leases have surely expired that the previous holder has granted up to now, or
// grants for as long as it may start tasks. The worker may have restarted since that holder read its clock, and may have
// been granted the longest lease.
func (m *Machine) takeoverDeadlineNow() time.Time {
	return endive.Latest(m.now, m.tenure.previousLeaseEnd).Add(m.longestLease())
}

func (m *Machine) endTenure(e TenureEnded) {
	if !m.tenure.active {
		return
	}
	m.logDecision(Decision{Kind: DecisionTenure, Outcome: "ended", Reason: "epoch " + formatInt(int64(m.tenure.epoch))})
	if e.HandOver && m.tenure.loaded {
		m.handOver()
	}
	m.emit(AccountsUsed{})
	m.reset()
}

// handleFenced ends the tenure because a worker or the store has a higher epoch.
func (m *Machine) handleFenced(source string) {
	if !m.tenure.active {
		return
	}
	m.abandonTenure("it was refused by " + source)
}

// abandonTenure ends the tenure so that this entry or another acquires the pool under a higher epoch.
func (m *Machine) abandonTenure(reason string) {
	epoch := m.tenure.epoch
	m.logDecision(Decision{Kind: DecisionTenure, Outcome: "fenced", Reason: "epoch " + formatInt(int64(epoch)) + ": " + reason})
	m.emit(Fenced{Epoch: epoch})
	m.emit(AccountsUsed{})
	m.reset()
}

// mayStart reports whether tasks may be started now.
func (m *Machine) mayStart() bool {
	return m.tenure.loaded && m.now.Before(m.tenure.leaseEnd) && !m.listExpired()
}

// applySnapshot creates the jobs and workers from the pool's rows.
func (m *Machine) applySnapshot(e PoolSnapshot) {
	if e.Epoch != m.tenure.epoch || m.tenure.loaded {
		return
	}
	m.tenure.loaded, m.tenure.loadedAt = true, m.now
	// A holder that doesn't reach the store renews leases until a worker refuses its epoch, and the workers learn of the
	// new one only from now on.
	m.tenure.takeoverDeadline = m.takeoverDeadlineNow()
	m.tenure.revision = e.Revision
	m.quotas.division.TakeOver(e.QuotaParts)
	progress := make(map[endive.JobID]storedProgress)
	for _, row := range e.StateRows {
		id, decoded, ok := m.decodeProgress(row)
		if ok {
			progress[id] = decoded
		}
	}
	m.recorder.roster = make(map[endive.WorkerID]rosterRecord)
	for _, rosterWorker := range e.Roster {
		m.recorder.roster[rosterWorker.ID] = rosterWorker.record()
		if m.workers[rosterWorker.ID] == nil && !rosterWorker.Terminated {
			m.addUnlisted(rosterWorker)
		}
		m.workers[rosterWorker.ID].restore(rosterWorker)
	}
	for _, id := range e.EndedJobs {
		m.addArchivedJob(id)
	}
	m.applySnapshotRows(e.WorkRows, progress)
	for _, advice := range e.Advice {
		m.handleForwardedAdvice(advice)
	}
	m.updateWorkers()
	m.proveRestored()
	m.passDue = true
	m.workersDueAt = m.now
	m.logDecision(Decision{Kind: DecisionTenure, Outcome: "loaded",
		Reason: formatInt(int64(len(m.jobs))) + " live workflows, " + formatInt(int64(len(e.Roster))) + " workers in the roster"})
}

// finishTakeover ends the takeover once no worker may hide runs of an earlier holder: all lists of ends have been
// read, or the leases of the workers that don't answer have expired.
func (m *Machine) finishTakeover() {
	if m.tenure.takeoverDone {
		return
	}
	for _, w := range m.sortedWorkers {
		if m.mayHideRuns(w) {
			return
		}
	}
	m.tenure.takeoverDone = true
	m.passDue = true
	m.workersDueAt = m.now
	silent := m.unansweredWorkers()
	for _, w := range m.sortedWorkers {
		if !w.answered() && !w.listed && len(w.runs) == 0 {
			delete(m.workers, w.id)
		}
	}
	m.sortWorkers()
	m.abortIncompleteGangs()
	m.settlePendingRuns()
	m.logDecision(Decision{Kind: DecisionTenure, Outcome: "settled", Reason: formatInt(int64(len(m.sortedWorkers))) + " workers" + describeSilent(silent)})
}

// mayBeHidden reports whether a task that an earlier holder has started may be running on a worker that hasn't
// answered yet, or may have ended there.
func (m *Machine) mayBeHidden(t *task) bool {
	if m.tenure.takeoverDone || !t.inherited {
		return false
	}
	for _, w := range m.sortedWorkers {
		if m.mayHideRuns(w) && w.mayRun(t) {
			return true
		}
	}
	return false
}

// longestDuration returns the longest time in which a worker's clock, at the minimum rate, can
// advance by the given duration.
func longestDuration(d time.Duration) time.Duration { return time.Duration(float64(d) / minClockRate) }
