package flow

import (
	"fmt"
	"sort"
	"strconv"
	"time"

	"endiveroute.example/endive"
)

// job is a workflow that hasn't ended, or whose end isn't recorded yet.
type job struct {
	id          endive.JobID
	spec        endive.Workflow
	policy      endive.Queue
	accepted    time.Time
	state       endive.WorkflowState
	occurrences map[int]*occurrence
	// nextOccurrence is the first occurrence that isn't due yet; finishedOccurrences counts those
	// whose tasks have all succeeded.
	nextOccurrence      int
	finishedOccurrences int
	started             bool
	// submissionValue and stateValue are the values of the rows of its submission and of its
	// state; cancelled says that there is a row which asks for its cancelling.
	submissionValue, stateValue []byte
	cancelled                   bool
	// rowStatus says that the state row is older than what is known.
	rowStatus rowStatus
	// rank is the job's place in the order of the last pass.
	rank rank
	// inherited jobs were accepted before this tenure.
	inherited bool
	objective time.Time
}

// rowStatus says whether a job's row has to be written.
type rowStatus int

const (
	rowCurrent rowStatus = iota
	// rowLazy means that nobody waits for the news.
	rowLazy
	// rowUrgent means that an end waits for it.
	rowUrgent
)

// occurrence is one run through the steps.
type occurrence struct {
	job    *job
	number int
	due    time.Time
	steps  []*step
	// unfinishedSteps counts the steps that haven't succeeded.
	unfinishedSteps int
}

// step is a step of one occurrence.
type step struct {
	occ   *occurrence
	index int
	id    endive.StepID
	spec  *endive.Step
	tasks []*task
	// waiting counts tasks that could start as far as they themselves go, unfinished
	// those that haven't succeeded, and unrecorded those whose success isn't recorded.
	waiting    int
	unfinished int
	unrecorded int
	// startedAt is when the first task of the step was started.
	startedAt time.Time
	// runsPerWorker counts the runs on each worker.
	runsPerWorker map[endive.WorkerID]int

	// paceByWorker is how long the step's tasks take, by worker, and pace the median.
	paceByWorker map[endive.WorkerID]endive.Interval
	pace         endive.Interval
	// succeededRuns counts the tasks that ended well without a resumed run, and succeededTime is how
	// long they ran in all.
	succeededRuns int
	succeededTime endive.Interval

	tickets tickets
	gang    gang
}

// task is one task of a step.
type task struct {
	step  *step
	index int
	id    endive.TaskID
	state taskState
	// run is what may be running of the task; nil while it waits.
	run *run
	// failedRuns are the runs that failed.
	failedRuns []endive.RunNumber
	checkpoint endive.Checkpoint
	// savedPercent is how far the last run had come.
	savedPercent int
	// notBefore delays the next start after a failure.
	notBefore time.Time
	// avoidWorker is where the task ended badly last.
	avoidWorker endive.WorkerID
	// restartedElsewhere says that a run of the task was stopped for being slow.
	restartedElsewhere bool
	// inherited tasks may run on a worker that hasn't answered in this tenure.
	inherited bool
	// lastRun is the highest run number known of the task.
	lastRun endive.RunNumber
}

// taskState says how far a task is.
type taskState int

const (
	taskWaiting taskState = iota
	taskPlaced
	// taskSucceeded tasks have ended well; the end may not be recorded yet.
	taskSucceeded
	taskRecorded
)

// newJob returns a job of which nothing is recorded.
func (m *Machine) newJob(s endive.Submission) *job {
	j := &job{
		id: s.Workflow.ID, spec: s.Workflow, policy: s.Policy, accepted: m.now,
		state: endive.WorkflowQueued, occurrences: make(map[int]*occurrence),
	}
	if s.Accepted > 0 && m.clock.Known() {
		if at := m.clock.Earliest(s.Accepted); at.Before(m.now) {
			j.accepted = at
		}
	}
	return j
}

// longestChain returns the longest chain of steps that take so long each.
func (j *job) longestChain(duration func(step int) time.Duration) time.Duration {
	var ends [endive.MaxSteps]time.Duration
	var longest time.Duration
	for i, step := range j.spec.Steps {
		for _, before := range step.After {
			ends[i] = max(ends[i], ends[before])
		}
		ends[i] += duration(i)
		longest = max(longest, ends[i])
	}
	return longest
}

// isLongRunning reports whether the job runs until it is cancelled.
func (j *job) isLongRunning() bool {
	for _, step := range j.spec.Steps {
		if step.LongRunning {
			return true
		}
	}
	return false
}

// addOccurrence makes the tasks of an occurrence.
func (m *Machine) addOccurrence(j *job, number int) *occurrence {
	occ := &occurrence{job: j, number: number, due: j.spec.Schedule.Due(number), unfinishedSteps: len(j.spec.Steps)}
	for i := range j.spec.Steps {
		s := &step{
			occ: occ, index: i, spec: &j.spec.Steps[i],
			id:            endive.StepID(fmt.Sprintf("%s.%d.%d", j.id, number, i)),
			runsPerWorker: make(map[endive.WorkerID]int),
		}
		s.unrecorded = s.spec.Tasks
		s.unfinished = s.spec.Tasks
		s.waiting = s.spec.Tasks
		for n := range s.spec.Tasks {
			t := &task{step: s, index: n, id: endive.TaskID(string(s.id) + "." + strconv.Itoa(n)), inherited: j.inherited}
			s.tasks = append(s.tasks, t)
			m.tasks[t.id] = t
		}
		occ.steps = append(occ.steps, s)
	}
	j.occurrences[number] = occ
	return occ
}

// dropOccurrence forgets the tasks of an occurrence that has ended.
func (m *Machine) dropOccurrence(occ *occurrence) {
	for _, s := range occ.steps {
		for _, t := range s.tasks {
			delete(m.tasks, t.id)
		}
	}
}

// sortedOccurrences returns the occurrences in the order of their numbers.
func (j *job) sortedOccurrences() []*occurrence {
	if len(j.occurrences) == 1 {
		for _, occ := range j.occurrences {
			return []*occurrence{occ}
		}
	}
	occs := make([]*occurrence, 0, len(j.occurrences))
	for _, occ := range j.occurrences {
		occs = append(occs, occ)
	}
	sort.Slice(occs, func(a, b int) bool { return occs[a].number < occs[b].number })
	return occs
}

// ready reports whether all steps before s have succeeded. That needn't be recorded
// yet: an end stays listed at its worker until it is. If both the holder and that
// worker are lost before, some task runs again beside its successors, but each step
// still began after those before it had succeeded.
func (s *step) ready() bool {
	for _, before := range s.spec.After {
		if s.occ.steps[before].unfinished > 0 {
			return false
		}
	}
	return true
}

// runs returns what may be running of the job.
func (j *job) runs() []*run {
	var runs []*run
	for _, occ := range j.sortedOccurrences() {
		for _, s := range occ.steps {
			for _, t := range s.tasks {
				if t.run != nil {
					runs = append(runs, t.run)
				}
			}
		}
	}
	return runs
}

// addDueOccurrences makes the occurrences whose time has come.
func (m *Machine) addDueOccurrences() {
	for _, j := range m.scheduled {
		if j.state.Ended() {
			continue
		}
		for j.nextOccurrence < j.spec.Schedule.Count() && !m.now.Before(j.spec.Schedule.Due(j.nextOccurrence)) {
			if j.occurrences[j.nextOccurrence] == nil {
				m.addOccurrence(j, j.nextOccurrence)
			}
			j.nextOccurrence++
			m.passDue = true
		}
	}
}

// nextOccurrenceDue returns when the next occurrence is due.
func (m *Machine) nextOccurrenceDue() time.Time {
	var next time.Time
	for _, j := range m.scheduled {
		if !j.state.Ended() && j.nextOccurrence < j.spec.Schedule.Count() {
			next = endive.Earliest(next, j.spec.Schedule.Due(j.nextOccurrence))
		}
	}
	return next
}

// markDirty asks for the job's row to be written.
func (m *Machine) markDirty(j *job, status rowStatus) {
	if j.rowStatus == rowCurrent {
		m.recorder.dirty = append(m.recorder.dirty, j)
	}
	j.rowStatus = max(j.rowStatus, status)
	if status == rowUrgent {
		m.recorder.urgent = true
	}
}
