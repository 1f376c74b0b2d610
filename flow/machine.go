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

	// now and actions belong to the current step; stepCount counts them, to tell which of
	// two answers was waited for first.
	now       time.Time
	actions   []endive.Action
	stepCount uint64

	tenure tenure
	jobs   map[endive.JobID]*job
	tasks  map[endive.TaskID]*task
	// scheduled are the jobs that run at set times.
	scheduled     map[endive.JobID]*job
	workers       map[endive.WorkerID]*worker
	sortedWorkers []*worker
	listed        WorkersListed
	// changedWorkers are the workers that something happened to in this step; workersDueAt is
	// when something is due at any.
	changedWorkers []*worker
	workersDueAt   time.Time
	// adviceClients is how many questions for advice can be asked at the same time.
	adviceClients int
	recorder      recorder
	advice        adviceState
	// earlyAdvice are answers about steps that aren't known yet.
	earlyAdvice map[endive.StepID]ForwardedAdvice
	status      statusReport
	endedJobs   endedJobs
	// passDue asks for a look at what could start; earliestPassAt is the earliest time.
	passDue        bool
	earliestPassAt time.Time
	// scheduledPassAt is when something that a look passed over is due; zero for never.
	scheduledPassAt time.Time
	wakeAt          time.Time
	// unplacedUrgent are the steps of urgent work for which the current look found no room.
	unplacedUrgent []unplacedStep
	// gangDrains counts the workers that the current look keeps for gangs while tasks are
	// at work there.
	gangDrains int
	// maxGangDrains bounds them.
	maxGangDrains int
	// prevLowSlack says that in the last look tasks waited that hardly can any longer, lowSlack
	// that they do in the current one.
	prevLowSlack, lowSlack bool
	// prevGangsWaiting says that in the last look gangs found no room, gangsWaiting that they don't
	// in the current one.
	prevGangsWaiting, gangsWaiting bool
	// forecasts are what was learned of the queues, also in earlier tenures.
	forecasts map[endive.QueueName]*Forecast
	// reservedTotals are those of the last look.
	reservedTotals reservedTotals
	// startCount makes the run numbers of this epoch rise.
	startCount int64
}

// New returns the machine of a pool, which isn't held yet.
func New(pool endive.PoolName, settings Settings, clock endive.PlatformClock, writeIDs *endive.WriteIDs) *Machine {
	m := &Machine{pool: pool, settings: settings, clock: clock, writeIDs: writeIDs, adviceClients: 1, forecasts: make(map[endive.QueueName]*Forecast)}
	m.reset()
	return m
}

// reset drops everything that is known in a tenure.
func (m *Machine) reset() {
	m.tenure = tenure{}
	m.jobs = make(map[endive.JobID]*job)
	m.tasks = make(map[endive.TaskID]*task)
	m.scheduled = make(map[endive.JobID]*job)
	m.workers = make(map[endive.WorkerID]*worker)
	m.sortedWorkers = nil
	m.recorder = recorder{}
	m.advice = adviceState{}
	m.earlyAdvice = make(map[endive.StepID]ForwardedAdvice)
	m.status = statusReport{}
	m.endedJobs = endedJobs{knownIDs: make(map[endive.JobID]bool)}
	m.changedWorkers, m.workersDueAt = nil, time.Time{}
	m.startCount = 0
}

// Step implements endive.Machine.
func (m *Machine) Step(now time.Time, event endive.Event) []endive.Action {
	m.now, m.actions = now, nil
	m.stepCount++
	m.handle(event)
	if m.tenure.active {
		m.runDueWork()
	}
	out := m.actions
	m.actions = nil
	return out
}

func (m *Machine) handle(event endive.Event) {
	switch e := event.(type) {
	case TenureBegan:
		m.beginTenure(e)
		return
	case TenureEnded:
		m.endTenure(e)
		return
	case WorkersListed:
		m.listed = e
		m.updateWorkers()
		return
	case AdviceClientsChanged:
		m.adviceClients = e.Count
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
		m.tenure.leaseEnd = e.LeaseEnd
		m.passDue = true
	case PoolSnapshot:
		m.applySnapshot(e)
	case WorkChanged:
		m.applyWorkRows(e.Rows)
		m.tenure.revision = max(m.tenure.revision, e.Revision)
	case PollResult:
		m.handlePollResult(e)
	case StartResult:
		m.handleStartResult(e)
	case StopResult:
		m.handleStopResult(e)
	case AdviceResult:
		m.handleAdviceResult(e)
	case ForwardedAdvice:
		m.handleForwardedAdvice(e)
	case EndedJobsLoaded:
		m.handleEndedJobs(e)
	case endive.Committed:
		m.handleCommitted(e)
	}
}

// runDueWork does what is due after any event.
func (m *Machine) runDueWork() {
	if !m.tenure.loaded {
		return
	}
	m.addDueOccurrences()
	m.finishTakeover()
	m.schedule()
	m.sendAdviceRequests()
	m.pollWorkers()
	m.writeDue()
	if m.tenure.active {
		m.setWake()
	}
}

func (m *Machine) emit(action endive.Action) { m.actions = append(m.actions, action) }

// sortWorkers keeps the workers in the order of their ids.
func (m *Machine) sortWorkers() {
	m.sortedWorkers = m.sortedWorkers[:0]
	for _, w := range m.workers {
		m.sortedWorkers = append(m.sortedWorkers, w)
	}
	sort.Slice(m.sortedWorkers, func(i, j int) bool { return m.sortedWorkers[i].id < m.sortedWorkers[j].id })
}

// setWake asks for a wake-up when something is due next.
func (m *Machine) setWake() {
	next := m.now.Add(time.Second)
	next = endive.Earliest(next, m.nextOccurrenceDue())
	next = endive.Earliest(next, m.workersDueAt)
	if m.mayStart() {
		if m.passDue {
			next = endive.Earliest(next, m.earliestPassAt)
		}
		next = endive.Earliest(next, m.scheduledPassAt)
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
