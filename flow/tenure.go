package flow

import (
	"time"

	"endiveroute.example/endive"
)

// tenure is the time in which this entry holds the pool under one epoch.
type tenure struct {
	active bool
	loaded bool
	epoch  endive.Epoch
	// until is when the lease of the pool ends. Nothing is started after it; what
	// runs is kept alive until another holder is heard of.
	until time.Time
	// lastUntil is until when the last holder may start work that came after this
	// tenure began; zero if it can't.
	lastUntil time.Time
	// unheardUntil is when everything that an earlier holder started on a worker
	// that hasn't answered yet has surely ended.
	unheardUntil time.Time
	// settled says that no task can run on a worker that hasn't answered.
	settled bool
	// revision is the one up to which the rows of work were taken in.
	revision endive.Revision
}

func (m *Machine) tenureBegan(e TenureBegan) {
	m.forget()
	m.tenure = tenure{active: true, epoch: e.Epoch, until: e.LeaseEnd, lastUntil: e.PreviousLeaseEnd}
	// The last holder may renew leases for as long as it may start tasks.
	m.tenure.unheardUntil = endive.Latest(m.now, e.PreviousLeaseEnd).Add(slowest(time.Duration(m.settings.LeaseDuration)) + guessMargin + leaseMargin)
	m.takeForecasts(e.Forecasts)
	m.recorder.fence = Fence{Epoch: e.Epoch}
	m.recorder.fenceVersion = e.FenceVersion
	m.note(Decision{Kind: DecisionTenure, Outcome: "began", Reason: "epoch " + number(int64(e.Epoch))})
	m.emit(LoadSnapshot{Epoch: e.Epoch})
	m.updateWorkers()
}

func (m *Machine) tenureEnded(e TenureEnded) {
	if !m.tenure.active {
		return
	}
	m.note(Decision{Kind: DecisionTenure, Outcome: "ended", Reason: "epoch " + number(int64(m.tenure.epoch))})
	if e.HandOver && m.tenure.loaded {
		m.handOver()
	}
	m.forget()
}

// fenced ends the tenure, since a worker or the store knows a higher epoch.
func (m *Machine) fenced(by string) {
	if !m.tenure.active {
		return
	}
	epoch := m.tenure.epoch
	m.note(Decision{Kind: DecisionTenure, Outcome: "fenced", Reason: "epoch " + number(int64(epoch)) + " is refused by " + by})
	m.emit(Fenced{Epoch: epoch})
	m.forget()
}

// mayStart reports whether tasks may be started now.
func (m *Machine) mayStart() bool {
	return m.tenure.loaded && m.now.Before(m.tenure.until)
}

// loaded takes in the pool's rows.
func (m *Machine) loaded(e PoolSnapshot) {
	if e.Epoch != m.tenure.epoch || m.tenure.loaded {
		return
	}
	m.tenure.loaded = true
	m.tenure.revision = e.Revision
	progress := make(map[endive.JobID]Progress)
	for _, row := range e.StateRows {
		id, read, ok := m.readProgress(row)
		if ok {
			progress[id] = read
		}
	}
	m.recorder.roster = make(map[endive.WorkerID]rosterMark)
	for _, one := range e.Roster {
		m.recorder.roster[one.ID] = one.mark()
		if m.workers[one.ID] == nil && !one.Terminated {
			m.addUnlisted(one)
		}
	}
	for _, id := range e.EndedJobs {
		m.keepEnded(id)
	}
	m.takeRows(e.WorkRows, progress)
	for _, one := range e.Advice {
		m.adviceNoted(one)
	}
	m.updateWorkers()
	m.passDue = true
	m.sweepAt = m.now
	m.note(Decision{Kind: DecisionTenure, Outcome: "loaded",
		Reason: number(int64(len(m.jobs))) + " live workflows, " + number(int64(len(e.Roster))) + " workers in the roster"})
}

// settleTakeover ends the time in which tasks of earlier holders may run unseen.
func (m *Machine) settleTakeover() {
	if m.tenure.settled {
		return
	}
	if m.now.Before(m.tenure.unheardUntil) {
		for _, w := range m.ordered {
			if !w.adopted {
				return
			}
		}
	}
	m.tenure.settled = true
	m.passDue = true
	m.sweepAt = m.now
	for _, w := range m.ordered {
		if !w.adopted && !w.listed && len(w.runs) == 0 {
			delete(m.workers, w.id)
		}
	}
	m.sortWorkers()
	m.checkGangs()
	m.note(Decision{Kind: DecisionTenure, Outcome: "settled", Reason: number(int64(len(m.ordered))) + " workers"})
}

// mayRunUnseen reports whether an earlier holder may have started a task on a
// worker that hasn't answered yet.
func (m *Machine) mayRunUnseen(t *task) bool {
	if m.tenure.settled || !t.inherited {
		return false
	}
	for _, w := range m.ordered {
		if !w.adopted && w.couldRun(t.step) {
			return true
		}
	}
	return false
}

// slowest returns how long a length of time on a worker's clock can last.
func slowest(d time.Duration) time.Duration { return time.Duration(float64(d) / clockRate) }
