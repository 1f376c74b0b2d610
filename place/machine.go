package place

import (
	"time"

	"endiveroute.example/endive"
)

// Machine places the tasks of one slice. It implements endive.Machine.
//
// Its events are endive.LeaseChanged, endive.MembersChanged,
// endive.ConfigChanged, endive.Scanned, endive.Fetched, endive.Committed,
// endive.Wake, Reported, Noticed, Explain, List and HandOver. Its actions are
// endive.Scan, endive.Fetch, endive.Commit, endive.Decision, endive.SetWake,
// Command, Explanation, Listing and Released.
type Machine struct {
	slice    endive.Slice
	settings Settings
	placer   endive.Placer
	writeIDs *endive.WriteIDs

	// now and out belong to the current step.
	now time.Time
	out []endive.Action

	config  endive.Config
	members endive.MembersChanged
	learned learned
	// attemptsMade and commandsSent are never reset, in case that an epoch is
	// taken up again.
	attemptsMade uint64
	commandsSent uint64

	// What follows is forgotten at each takeover.

	// active is set from the takeover until the slice is released.
	active    bool
	releasing bool
	lease     endive.LeaseChanged
	takeover  takeover
	loader    loader
	recorder  recorder
	workers   workers
	jobs      map[endive.JobID]*job
	teams     map[endive.TeamName]*team
	ranks     ranking
	usages    usages
	queue     queue
	delayed   delayed
	gangHold  *reservation
	// waiting counts tasks that could start; acceleratorsWaiting those of them
	// that need accelerators.
	waiting             int
	acceleratorsWaiting int
	// parked counts the jobs that no worker could ever hold.
	parked   int
	jobsSeen uint64
	// total is the size of all usable workers.
	total endive.Resources
	// changed asks for a pass over the queue; freed counts what made room.
	changed bool
	freed   uint64
	// lower counts what may have become preemptible.
	lower   uint64
	sweepAt time.Time
	wakeAt  time.Time
}

// New returns the machine of a slice.
func New(slice endive.Slice, settings Settings, placer endive.Placer, writeIDs *endive.WriteIDs) *Machine {
	return &Machine{
		slice: slice, settings: settings, placer: placer, writeIDs: writeIDs,
		learned: make(learned),
	}
}

// Step implements endive.Machine.
func (m *Machine) Step(now time.Time, event endive.Event) []endive.Action {
	m.now, m.out = now, nil
	m.handle(event)
	if m.active {
		m.advance()
	}
	out := m.out
	m.out = nil
	return out
}

func (m *Machine) handle(event endive.Event) {
	switch e := event.(type) {
	case endive.LeaseChanged:
		m.leaseChanged(e)
	case endive.MembersChanged:
		m.members = e
		m.updateWorkers()
	case endive.ConfigChanged:
		m.config = e.Config
		m.configureQuotas()
		m.updateWorkers()
	case endive.Scanned:
		m.scanned(e)
	case endive.Fetched:
		m.fetched(e)
	case endive.Committed:
		m.committed(e)
	case Reported:
		m.reported(e)
	case Noticed:
		m.loader.pollAt = m.now
	case Explain:
		m.explain(e)
	case List:
		m.listJobs(e)
	case HandOver:
		m.handOver()
	case endive.Wake:
		m.wakeAt = time.Time{}
	}
}

// advance does what is due after any event.
func (m *Machine) advance() {
	if !m.now.Before(m.sweepAt) {
		m.sweep()
	}
	if !m.active {
		return
	}
	m.poll()
	m.takeCancels()
	m.settle()
	m.pass()
	m.flush()
	m.dispatch()
	m.release()
	if m.active {
		m.setWake()
	}
}

func (m *Machine) emit(action endive.Action) { m.out = append(m.out, action) }

func (m *Machine) decide(kind endive.DecisionKind, subject, choice, reason string) {
	m.emit(endive.Decision{Kind: kind, Subject: subject, Choice: choice, Reason: reason})
}

// mayStart reports whether new tasks may start at this moment.
func (m *Machine) mayStart() bool {
	return m.active && !m.releasing && m.lease.Held && m.loader.loaded && m.now.Before(m.lease.ExpiresAt)
}

// setWake asks for a wake-up when something is due next.
func (m *Machine) setWake() {
	next := m.sweepAt
	if m.loader.pollAt.Before(next) {
		next = m.loader.pollAt
	}
	if at := m.recorder.nextAt(); m.mayWrite() && !at.IsZero() && at.Before(next) {
		next = at
	}
	if m.changed && m.mayStart() || len(m.loader.wave) > 0 {
		next = m.now
	}
	if m.wakeAt.IsZero() || next.Before(m.wakeAt) {
		m.wakeAt = next
		m.emit(endive.SetWake{At: next})
	}
}
