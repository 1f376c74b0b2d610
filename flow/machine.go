package flow

import (
	"sort"
	"time"

	"endiveroute.example/endive"
)

// Machine schedules the tasks of one pool. It implements endive.Machine. Its events and
// actions are those of this package, endive.Committed, endive.Wake and endive.SetWake.
type Machine struct {
	pool     endive.PoolName
	settings Settings
	clock    endive.PlatformClock
	writeIDs *endive.WriteIDs

	// now and actions belong to the current call of Step. stepCount counts the calls; it
	// shows whether a poll was sent before or after the answer to another order.
	now       time.Time
	actions   []endive.Action
	stepCount uint64

	tenure tenure
	jobs   map[endive.JobID]*job
	tasks  map[endive.TaskID]*task
	// scheduled are the jobs with a schedule, which run at given times.
	scheduled     map[endive.JobID]*job
	workers       map[endive.WorkerID]*worker
	sortedWorkers []*worker
	listed        WorkersListed
	// changedWorkers are the workers whose state changed in the current step. workersDueAt
	// is when the next poll or timeout of any worker is due.
	changedWorkers []*worker
	workersDueAt   time.Time
	probes         probes
	// adviceClients is the number of advice requests that can be processed at the same time.
	adviceClients int
	recorder      recorder
	advice        adviceState
	// earlyCancels are the workflows whose cancellations arrived before their submissions.
	earlyCancels map[endive.JobID]bool
	// skipped are the workflows that this build can't run.
	skipped map[endive.JobID]*skippedJob
	// earlyAdvice are the answers for steps whose workflow hasn't arrived yet.
	earlyAdvice map[endive.StepID]ForwardedAdvice
	quotas      quotas
	status      statusReport
	endedJobs   endedJobs
	// passDue is true if a scheduling pass is needed; earliestPassAt is the earliest time
	// for it.
	passDue        bool
	earliestPassAt time.Time
	// scheduledPassAt is when work that an earlier scheduling pass skipped can be
	// considered again; zero for never.
	scheduledPassAt time.Time
	wakeAt          time.Time
	// unplacedUrgent are the urgent steps with tasks for which the current scheduling pass
	// found no free capacity.
	unplacedUrgent []unplacedStep
	// gangDrains counts the workers that are drained for gangs in the current scheduling
	// pass while tasks still run there.
	gangDrains int
	// maxGangDrains is the limit for gangDrains.
	maxGangDrains int
	// lowSlack is true if workflows with low slack have waiting tasks in the current
	// scheduling pass. prevLowSlack is the value of the previous pass.
	prevLowSlack, lowSlack bool
	// gangsWaiting is true if a gang found no free capacity in the current scheduling pass.
	// prevGangsWaiting is the value of the previous pass.
	prevGangsWaiting, gangsWaiting bool
	// forecasts are the run time forecasts of the queues, also from earlier tenures.
	forecasts map[endive.QueueName]*Forecast
	// accounts are the accounts of the newest configuration. order is which work of them goes
	// first.
	accounts endive.Accounts
	order    endive.AccountOrder
	// speeds are the speeds of the workers, also from earlier tenures.
	speeds endive.WorkerSpeeds
	// reservedTotals are the reservations of the last scheduling pass.
	reservedTotals reservedTotals
	waitLog        waitLog
	unfitNeeds     unfitNeeds
	// unexplainedCrashAt is when a worker last crashed without a suspect.
	unexplainedCrashAt time.Time
	crashLog           crashLog
	unproven           unprovenCrashes
	// unreadReports are the workers that have reported tasks of workflows that may be stored and unread.
	unreadReports map[endive.WorkerID]*worker
	// isolatedWorkers counts the isolated workers in the current scheduling pass.
	isolatedWorkers int
	// startCount counts the runs started in this epoch; run numbers are derived from it.
	startCount int64
	// incarnations counts the incarnations of each worker that this tenure has known.
	incarnations map[endive.WorkerID]int
	// silences counts the times at which the epoch of calls to a worker was raised since it had fallen silent.
	silences map[endive.WorkerID]int
}

// New returns the machine of a pool that this entry doesn't hold yet.
func New(pool endive.PoolName, settings Settings, clock endive.PlatformClock, writeIDs *endive.WriteIDs, division endive.QuotaDivision, speeds endive.WorkerSpeeds, order endive.AccountOrder) *Machine {
	m := &Machine{pool: pool, settings: settings, clock: clock, writeIDs: writeIDs, adviceClients: 1, forecasts: make(map[endive.QueueName]*Forecast)}
	m.quotas.division, m.speeds, m.order = division, speeds, order
	m.reset()
	return m
}

// reset deletes all state that belongs to a tenure.
func (m *Machine) reset() {
	m.tenure = tenure{}
	m.jobs = make(map[endive.JobID]*job)
	m.tasks = make(map[endive.TaskID]*task)
	m.scheduled = make(map[endive.JobID]*job)
	m.workers = make(map[endive.WorkerID]*worker)
	m.sortedWorkers = nil
	m.recorder = recorder{}
	m.advice = adviceState{}
	m.earlyCancels = make(map[endive.JobID]bool)
	m.skipped = make(map[endive.JobID]*skippedJob)
	m.earlyAdvice = make(map[endive.StepID]ForwardedAdvice)
	m.quotas = quotas{division: m.quotas.division, due: true, uses: make(map[endive.AccountName]*accountUse)}
	m.quotas.division.Begin(0)
	m.status = statusReport{}
	m.endedJobs = endedJobs{knownIDs: make(map[endive.JobID]bool)}
	m.changedWorkers, m.workersDueAt = nil, time.Time{}
	m.probes = probes{inFlight: make(map[endive.WorkerID]PollID), calls: make(map[pollCall]bool)}
	m.crashLog = crashLog{since: m.now}
	m.unproven = make(unprovenCrashes)
	m.unreadReports = make(map[endive.WorkerID]*worker)
	m.startCount = 0
	m.incarnations = make(map[endive.WorkerID]int)
	m.silences = make(map[endive.WorkerID]int)
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
	case WorkersConfirmed:
		m.listed.StartsUntil = e.StartsUntil
		return
	case WorkersHeard:
		m.recordHeard(e)
		return
	case AdviceClientsChanged:
		m.adviceClients = e.Count
		return
	case AccountsChanged:
		m.accounts = e.Accounts
		m.quotas.division.SetAccounts(e.Accounts, e.Pools)
		m.passDue, m.quotas.due = true, true
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
		m.handleWorkChanged(e)
	case WorkflowStored:
		m.handleStored(e)
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
	case QuotaRowsRead:
		m.quotas.division.HandleRows(e.Rows, e.Complete)
		m.passDue = true
	case endive.Committed:
		if m.quotas.division.HandleCommitted(m.now, e) {
			m.passDue = true
			return
		}
		m.handleCommitted(e)
	}
}

// handleWorkChanged applies new rows of the pool's work. Rows that an earlier tenure of this entry has read may be of
// workflows that have ended since.
func (m *Machine) handleWorkChanged(e WorkChanged) {
	if e.Epoch != m.tenure.epoch {
		return
	}
	m.applyWorkRows(e.Rows)
	m.tenure.revision = max(m.tenure.revision, e.Revision)
	m.dropUnreadReports(e.ReadAt)
}

// runDueWork runs everything that is due. It is called after each event.
func (m *Machine) runDueWork() {
	if !m.tenure.loaded {
		m.updateDivision(nil)
		return
	}
	if m.startCount >= maxStartsPerEpoch {
		m.abandonTenure("its run numbers are used up")
		return
	}
	m.addDueOccurrences()
	m.finishTakeover()
	m.schedule()
	m.updateQuotas()
	m.sendAdviceRequests()
	m.pollWorkers()
	m.writeDue()
	if m.tenure.active {
		m.setWake()
	}
}

func (m *Machine) emit(action endive.Action) { m.actions = append(m.actions, action) }

// sortWorkers rebuilds the list of workers in the order of their IDs.
func (m *Machine) sortWorkers() {
	m.sortedWorkers = m.sortedWorkers[:0]
	for _, w := range m.workers {
		m.sortedWorkers = append(m.sortedWorkers, w)
	}
	sort.Slice(m.sortedWorkers, func(i, j int) bool { return m.sortedWorkers[i].id < m.sortedWorkers[j].id })
}

// setWake requests a wake-up for the time at which something is due next.
func (m *Machine) setWake() {
	next := m.now.Add(time.Second)
	next = endive.Earliest(next, m.nextOccurrenceDue())
	if !m.tenure.takeoverDone {
		next = endive.Earliest(next, m.nextTakeoverStep())
	}
	next = endive.Earliest(next, m.workersDueAt)
	if m.mayStart() {
		if m.passDue {
			next = endive.Earliest(next, m.earliestPassAt)
		}
		next = endive.Earliest(next, m.scheduledPassAt)
	}
	next = endive.Earliest(next, m.quotas.updateAt)
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
