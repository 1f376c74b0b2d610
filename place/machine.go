package place

import (
	"time"

	"endiveroute.example/endive"
)

// Machine places the tasks of one slice. It implements endive.Machine.
//
// Its events are endive.LeaseChanged, endive.MembersChanged,
// endive.ConfigChanged, endive.Scanned, endive.Fetched, endive.Committed,
// endive.Wake, CommandResult, RowsChanged, ExplainJob, ListJobs and HandOver.
// Its actions are endive.Scan, endive.Fetch, endive.Commit, endive.Decision,
// endive.SetWake, Command, Explanation, Listing and Released.
type Machine struct {
	slice    endive.Slice
	settings Settings
	placer   endive.Placer
	writeIDs *endive.WriteIDs

	// now is the time of the current call of Step, and actions are the actions that
	// the call will return.
	now     time.Time
	actions []endive.Action

	config  endive.Config
	members endive.MembersChanged
	history runHistory
	// attemptCount and commandCount are never reset: the entry may get the same
	// epoch again, and attempt ids and sequences must not repeat in it.
	attemptCount uint64
	commandCount uint64

	// The fields below are reset at each takeover.

	// active is set from the takeover until the slice is released or the
	// machine is deactivated.
	active          bool
	handingOver     bool
	lease           endive.LeaseChanged
	takeover        takeover
	loader          loader
	recorder        recorder
	workers         workers
	jobs            map[endive.JobID]*job
	teams           map[endive.TeamName]*team
	ranking         ranking
	usages          teamUsage
	queue           queue
	delayed         retryHeap
	gangReservation *reservation
	// waitingTasks counts the tasks that are ready to start, and
	// waitingAcceleratorTasks counts those of them that need accelerators.
	waitingTasks            int
	waitingAcceleratorTasks int
	// parkedJobs counts the jobs that the workers can't run even when empty.
	parkedJobs int
	jobCount   uint64
	// totalSize is the total size of the workers that haven't terminated.
	totalSize endive.Resources
	// passNeeded requests a scheduling pass. capacityVersion is incremented
	// whenever capacity may have become free.
	passNeeded      bool
	capacityVersion uint64
	// preemptibleVersion is incremented whenever preemption may have become
	// possible.
	preemptibleVersion uint64
	sweepAt            time.Time
	wakeAt             time.Time
}

// New returns the machine of a slice.
func New(slice endive.Slice, settings Settings, placer endive.Placer, writeIDs *endive.WriteIDs) *Machine {
	return &Machine{
		slice: slice, settings: settings, placer: placer, writeIDs: writeIDs,
		history: make(runHistory),
	}
}

// Step implements endive.Machine.
func (m *Machine) Step(now time.Time, event endive.Event) []endive.Action {
	m.now, m.actions = now, nil
	m.handle(event)
	if m.active {
		m.processDue()
	}
	out := m.actions
	m.actions = nil
	return out
}

func (m *Machine) handle(event endive.Event) {
	switch e := event.(type) {
	case endive.LeaseChanged:
		m.handleLeaseChanged(e)
	case endive.MembersChanged:
		m.members = e
		m.updateWorkers()
	case endive.ConfigChanged:
		m.config = e.Config
		m.configureQuotas()
		m.updateWorkers()
	case endive.Scanned:
		m.handleScanned(e)
	case endive.Fetched:
		m.handleFetched(e)
	case endive.Committed:
		m.handleCommitted(e)
	case CommandResult:
		m.handleCommandResult(e)
	case RowsChanged:
		m.loader.scanAt = m.now
	case ExplainJob:
		m.explainJob(e)
	case ListJobs:
		m.listJobs(e)
	case HandOver:
		m.beginHandOver()
	case endive.Wake:
		m.wakeAt = time.Time{}
	}
}

// processDue does the work that may be due after any event.
func (m *Machine) processDue() {
	if !m.now.Before(m.sweepAt) {
		m.sweep()
	}
	if !m.active {
		return
	}
	m.requestScans()
	m.applyCancels()
	m.finishTakeover()
	m.runSchedulingPass()
	m.flush()
	m.sendCommands()
	m.releaseIfIdle()
	if m.active {
		m.setWake()
	}
}

func (m *Machine) emit(action endive.Action) { m.actions = append(m.actions, action) }

func (m *Machine) logDecision(kind endive.DecisionKind, subject, choice, reason string) {
	m.emit(endive.Decision{Kind: kind, Subject: subject, Choice: choice, Reason: reason})
}

// mayStart reports whether the holder may start tasks now: the lease is valid,
// the rows are loaded and no handover is in progress.
func (m *Machine) mayStart() bool {
	return m.active && !m.handingOver && m.lease.Held && m.loader.loaded && m.now.Before(m.lease.ExpiresAt)
}

// setWake requests a wake-up at the time of the next due work.
func (m *Machine) setWake() {
	next := m.sweepAt
	if m.loader.scanAt.Before(next) {
		next = m.loader.scanAt
	}
	if at := m.recorder.nextFlushAt(); m.mayWrite() && !at.IsZero() && at.Before(next) {
		next = at
	}
	if m.passNeeded && m.mayStart() || len(m.loader.pendingCancels) > 0 {
		next = m.now
	}
	if m.wakeAt.IsZero() || next.Before(m.wakeAt) {
		m.wakeAt = next
		m.emit(endive.SetWake{At: next})
	}
}
