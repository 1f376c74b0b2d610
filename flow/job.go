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
	account     endive.AccountName
	policy      endive.Queue
	accepted    time.Time
	state       endive.WorkflowState
	occurrences map[int]*occurrence
	// active are the occurrences with steps whose success isn't fully recorded, in the order of their
	// numbers.
	active []*occurrence
	// unfinished counts the tasks of all occurrences that haven't succeeded.
	unfinished int
	// expectedEnd is when the job will probably end, as of the machine's step expectedEndStep.
	expectedEnd     time.Time
	expectedEndStep uint64
	// nextOccurrence is the first occurrence that isn't due yet.
	nextOccurrence int
	started        bool
	// submissionValue and stateValue are the stored values of the job's submission and of its
	// state; cancelled is true if the client has requested its cancellation.
	submissionValue, stateValue []byte
	cancelled                   bool
	// rowStatus is whether and how soon the state row has to be written.
	rowStatus rowStatus
	// beyondShare is true if the account has handed in more than its weight allows.
	beyondShare bool
	// rank is the job's position in the order of the last scheduling pass.
	rank rank
	// inherited is true if an earlier holder may have started tasks of the job.
	inherited bool
	objective time.Time
	// lastStart is when a task of the job was last started in this tenure.
	lastStart time.Time
}

// rowStatus is whether and how soon a job's state row has to be written.
type rowStatus int

const (
	rowCurrent rowStatus = iota
	// rowLazy means that the write may be delayed, since no task's or workflow's end is
	// recorded with the row.
	rowLazy
	// rowUrgent means that a task's or a workflow's end is recorded only with this row.
	rowUrgent
	// rowAside means that the store rejects the row.
	rowAside
)

// occurrence is one execution of all steps of a workflow.
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
	// waiting counts the tasks in state taskWaiting. unfinished counts the tasks that
	// haven't succeeded. unrecorded counts the tasks whose success isn't recorded.
	waiting    int
	unfinished int
	unrecorded int
	// heldBack is true if tasks of the step waited for the account's allowance in the last
	// scheduling pass.
	heldBack bool
	// waitingSince is since when tasks that could start have waited; zero if none waits.
	// waitLoggedAt is when that was last logged.
	waitingSince, waitLoggedAt time.Time
	// startedAt is when the first task of the step was started.
	startedAt time.Time
	// runsPerWorker counts the runs on each worker.
	runsPerWorker map[endive.WorkerID]int

	// paceByWorker is how long the step's tasks take on each worker. pace is the median of
	// these durations.
	paceByWorker map[endive.WorkerID]endive.Interval
	pace         endive.Interval
	// timedRuns are the run times of the tasks that succeeded without a resumed run.
	timedRuns []endive.TimedRun

	tickets tickets
	gang    gang
}

// task is one task of a step.
type task struct {
	step  *step
	index int
	id    endive.TaskID
	state taskState
	// run is the run that may be active; nil while the task waits.
	run *run
	// orphans counts the runs of the task that are to be stopped and may still be active.
	orphans int
	// failedRuns are the numbers of the failed runs. Their count is compared with the
	// attempts that the step allows.
	failedRuns []endive.RunNumber
	crashes    crashes
	checkpoint endive.Checkpoint
	// savedPercent is the progress of the last run.
	savedPercent int
	// notBefore delays the next start after a failure.
	notBefore time.Time
	// lateOn is the worker that may start the task late, until lateUntil; nil for none.
	lateOn    *worker
	lateUntil time.Time
	// shortRuns counts the runs in a row that ended soon after their start without a result.
	shortRuns int
	// avoidWorker is the worker on which the last run failed, was refused or was too slow.
	avoidWorker endive.WorkerID
	// restartedElsewhere is true if a run of the task was stopped because it was slow.
	restartedElsewhere bool
	// inherited is true if an earlier holder may have started the task.
	inherited bool
	// lastRun is the task's highest run number so far.
	lastRun endive.RunNumber
}

// taskState is a stage in the processing of a task.
type taskState int

const (
	taskWaiting taskState = iota
	taskPlaced
	// taskSucceeded tasks have succeeded; the success may not be recorded yet.
	taskSucceeded
	taskRecorded
)

// newJob returns a job without recorded progress.
func (m *Machine) newJob(s endive.Submission) *job {
	j := &job{
		id: s.Workflow.ID, spec: s.Workflow, account: s.Account, policy: s.Policy, accepted: m.now,
		state: endive.WorkflowQueued, occurrences: make(map[int]*occurrence),
	}
	if s.Accepted > 0 && m.clock.Known() {
		if at := m.clock.Earliest(s.Accepted); at.Before(m.now) {
			j.accepted = at
		}
	}
	return j
}

// longestChain returns the length of the longest chain of dependent steps, where duration
// gives the length of each step.
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

// addOccurrence creates an occurrence with its steps and tasks.
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
	j.activate(occ)
	return occ
}

// dropOccurrence removes the tasks of an ended occurrence.
func (m *Machine) dropOccurrence(occ *occurrence) {
	for _, s := range occ.steps {
		for _, t := range s.tasks {
			m.dropUnproven(t)
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

// ready reports whether all steps that must precede this one have succeeded. The success needn't
// be recorded yet, since a worker lists the end of a run until it is recorded. If both the
// holder and that worker are lost before then, a task may run again at the same time as the
// tasks of later steps, but each step still began after the steps before it had succeeded.
func (s *step) ready() bool {
	for _, before := range s.spec.After {
		if s.occ.steps[before].unfinished > 0 {
			return false
		}
	}
	return true
}

// runs returns the job's runs that may be active.
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

// markDirty schedules a write of the job's state row.
func (m *Machine) markDirty(j *job, status rowStatus) {
	if j.rowStatus == rowAside {
		if !j.state.Ended() {
			return
		}
		j.rowStatus = rowCurrent
	}
	if j.rowStatus == rowCurrent {
		m.recorder.dirty = append(m.recorder.dirty, j)
	}
	j.rowStatus = max(j.rowStatus, status)
	if status == rowUrgent {
		m.recorder.urgent = true
	}
}
