package flow

import (
	"sort"
	"time"

	"endiveroute.example/endive"
)

// Machine decides for one pool. It implements endive.Machine. Its events and
// actions are those of this package, endive.Committed, endive.Wake and
// endive.SetWake.
type Machine struct {
	pool     endive.PoolName
	settings Settings
	clock    endive.PlatformClock
	writeIDs *endive.WriteIDs

	// now and out belong to the current step; steps counts them, to tell which of
	// two answers was waited for first.
	now   time.Time
	out   []endive.Action
	steps uint64

	tenure tenure
	jobs   map[endive.JobID]*job
	tasks  map[endive.TaskID]*task
	// scheduled are the jobs that run at set times.
	scheduled map[endive.JobID]*job
	workers   map[endive.WorkerID]*worker
	ordered   []*worker
	listed    WorkersListed
	// touched are the workers that something happened to in this step; sweepAt is
	// when something is due at any.
	touched []*worker
	sweepAt time.Time
	// helpers is how many questions for advice can be asked at the same time.
	helpers  int
	recorder recorder
	advice   advice
	// early are answers about steps that aren't known yet.
	early   map[endive.StepID]ForwardedAdvice
	status  statusReport
	endings endings
	// passDue asks for a look at what could start; passAt is the earliest time.
	passDue bool
	passAt  time.Time
	// passAgainAt is when something that a look passed over is due; zero for never.
	passAgainAt time.Time
	wakeAt      time.Time
	// starved are the steps of urgent work for which the current look found no room.
	starved []starving
	// draining counts the workers that the current look keeps for gangs while tasks are
	// at work there.
	draining int
	// mostDraining bounds them.
	mostDraining int
	// pressed says that in the last look tasks waited that hardly can any longer, pressing
	// that they do in the current one.
	pressed, pressing bool
	// gangsWait says that in the last look gangs found no room, gangsWaiting that they don't
	// in the current one.
	gangsWait, gangsWaiting bool
	// forecasts are what was learned of the queues, also in earlier tenures.
	forecasts map[endive.QueueName]*Forecast
	// claims are those of the last look.
	claims claims
	// startsMade makes the run numbers of this epoch rise.
	startsMade int64
}

// New returns the machine of a pool, which isn't held yet.
func New(pool endive.PoolName, settings Settings, clock endive.PlatformClock, writeIDs *endive.WriteIDs) *Machine {
	m := &Machine{pool: pool, settings: settings, clock: clock, writeIDs: writeIDs, helpers: 1, forecasts: make(map[endive.QueueName]*Forecast)}
	m.forget()
	return m
}

// forget drops everything that is known in a tenure.
func (m *Machine) forget() {
	m.tenure = tenure{}
	m.jobs = make(map[endive.JobID]*job)
	m.tasks = make(map[endive.TaskID]*task)
	m.scheduled = make(map[endive.JobID]*job)
	m.workers = make(map[endive.WorkerID]*worker)
	m.ordered = nil
	m.recorder = recorder{}
	m.advice = advice{}
	m.early = make(map[endive.StepID]ForwardedAdvice)
	m.status = statusReport{}
	m.endings = endings{known: make(map[endive.JobID]bool)}
	m.touched, m.sweepAt = nil, time.Time{}
	m.startsMade = 0
}

// Step implements endive.Machine.
func (m *Machine) Step(now time.Time, event endive.Event) []endive.Action {
	m.now, m.out = now, nil
	m.steps++
	m.handle(event)
	if m.tenure.active {
		m.advance()
	}
	out := m.out
	m.out = nil
	return out
}

func (m *Machine) handle(event endive.Event) {
	switch e := event.(type) {
	case TenureBegan:
		m.tenureBegan(e)
		return
	case TenureEnded:
		m.tenureEnded(e)
		return
	case WorkersListed:
		m.listed = e
		m.updateWorkers()
		return
	case AdviceClientsChanged:
		m.helpers = e.Count
		return
	case endive.Wake:
		m.wakeAt = time.Time{}
		return
	}
	if !m.tenure.active {
		return
	}
	switch e := event.(type) {
	case TenureRenewed:
		m.tenure.until = e.LeaseEnd
		m.passDue = true
	case PoolSnapshot:
		m.loaded(e)
	case WorkChanged:
		m.workChanged(e.Rows)
		m.tenure.revision = max(m.tenure.revision, e.Revision)
	case PollResult:
		m.held(e)
	case StartResult:
		m.started(e)
	case StopResult:
		m.stopped(e)
	case AdviceResult:
		m.advised(e)
	case ForwardedAdvice:
		m.adviceNoted(e)
	case EndedJobsLoaded:
		m.endedFound(e)
	case endive.Committed:
		m.committed(e)
	}
}

// advance does what is due after any event.
func (m *Machine) advance() {
	if !m.tenure.loaded {
		return
	}
	m.takeDue()
	m.settleTakeover()
	m.pass()
	m.ask()
	m.lookAtWorkers()
	m.record()
	if m.tenure.active {
		m.setWake()
	}
}

func (m *Machine) emit(action endive.Action) { m.out = append(m.out, action) }

// sortWorkers keeps the workers in the order of their ids.
func (m *Machine) sortWorkers() {
	m.ordered = m.ordered[:0]
	for _, w := range m.workers {
		m.ordered = append(m.ordered, w)
	}
	sort.Slice(m.ordered, func(i, j int) bool { return m.ordered[i].id < m.ordered[j].id })
}

// setWake asks for a wake-up when something is due next.
func (m *Machine) setWake() {
	next := m.now.Add(time.Second)
	next = endive.Earliest(next, m.nextDue())
	next = endive.Earliest(next, m.sweepAt)
	if m.mayStart() {
		if m.passDue {
			next = endive.Earliest(next, m.passAt)
		}
		next = endive.Earliest(next, m.passAgainAt)
	}
	next = endive.Earliest(next, m.recorder.nextAt)
	next = endive.Earliest(next, m.advice.nextAt)
	if next.Before(m.now) {
		next = m.now
	}
	if m.wakeAt.IsZero() || next.Before(m.wakeAt) {
		m.wakeAt = next
		m.emit(endive.SetWake{At: next})
	}
}
