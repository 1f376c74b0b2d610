package flow

import (
	"slices"
	"sort"
	"time"

	"endiveroute.example/endive"
)

// rank orders workflows when there is more work than capacity, in bursts and in the backlog
// after a takeover. Workflows that can still meet their objective come before late ones,
// and those before workflows that are too late to be worth anything. Long-running tasks that have lost their
// run come before all: they had their capacity, and somebody relies on them. Late workflows of
// urgent queues still come before on-time workflows of other queues: they are small,
// clients wait for them, and the others have slack. Work beyond its account's share comes
// after all that is still worth running. Workflows with the same precedence are ordered by the
// rank of their queue and then by their objective. Those that are too late take turns instead:
// otherwise work whose runs end again and again without a result, on workers that crash or
// lose their leases, would be started for ever before the rest.
type rank struct {
	tier      tier
	queue     int
	objective time.Time
	// lastStart is when a task of the workflow was last started; when it was accepted if none was.
	lastStart time.Time
	// beyondShare is true for work beyond its account's share.
	beyondShare bool
	// interrupted is true for a workflow with a long-running task that has lost its run.
	interrupted bool
}

// tier says whether a workflow can still meet its objective, and if not, whether it is
// still worth running.
type tier int

const (
	tierOnTime tier = iota
	tierLate
	tierTooLate
)

// precedence combines the tier and the urgency of the queue; the lowest value goes first.
type precedence int

const (
	longRunningInterrupted precedence = iota
	urgentOnTime
	urgentLate
	otherOnTime
	otherLate
	anyBeyondShare
	anyTooLate
)

func (r rank) precedence() precedence {
	urgent := r.queue == preemptRank
	switch {
	case r.interrupted:
		return longRunningInterrupted
	case r.tier == tierTooLate:
		return anyTooLate
	case r.beyondShare:
		return anyBeyondShare
	case urgent && r.tier == tierOnTime:
		return urgentOnTime
	case urgent:
		return urgentLate
	case r.tier == tierOnTime:
		return otherOnTime
	default:
		return otherLate
	}
}

// less reports whether a workflow of this rank goes before a workflow of the other rank.
func (r rank) less(other rank) bool {
	if r.precedence() != other.precedence() {
		return r.precedence() < other.precedence()
	}
	if r.tier == tierTooLate && !r.lastStart.Equal(other.lastStart) {
		return r.lastStart.Before(other.lastStart)
	}
	if r.queue != other.queue {
		return r.queue < other.queue
	}
	return r.objective.Before(other.objective)
}

// computeRank updates a job's objective, which is the time by which the job should be finished,
// and returns the job's current rank.
func (m *Machine) computeRank(j *job) rank {
	r := rank{queue: j.policy.Rank, objective: j.objective, lastStart: endive.Latest(j.accepted, j.lastStart), beyondShare: j.beyondShare && !j.isLongRunning()}
	r.interrupted = j.hasInterruptedTask()
	if j.isLongRunning() || j.spec.Schedule.Occurrences > 0 {
		return r
	}
	j.objective = m.computeObjective(j)
	r.objective = j.objective
	finishAt := m.now.Add(m.jobRemaining(j))
	allowed := j.objective.Sub(j.accepted)
	switch {
	case !finishAt.After(j.objective):
	case !finishAt.After(j.accepted.Add(tooLateFactor * allowed)):
		r.tier = tierLate
	default:
		r.tier = tierTooLate
	}
	return r
}

// hasInterruptedTask reports whether a long-running task of the job has run and waits to start again. One whose runs
// end again and again soon after their start isn't put before other work.
func (j *job) hasInterruptedTask() bool {
	for _, occ := range j.active {
		for _, s := range occ.steps {
			if s.spec.LongRunning && s.waiting > 0 && slices.ContainsFunc(s.tasks, (*task).isInterrupted) {
				return true
			}
		}
	}
	return false
}

// isInterrupted reports whether the task has run and waits to start again.
func (t *task) isInterrupted() bool {
	hasRun := t.lastRun > 0 || t.inherited && t.step.occ.job.started
	return t.state == taskWaiting && hasRun && t.shortRuns <= freeShortRuns
}

// objectiveWorkers is the number of workers in the advice request that a workflow's objective
// allows for in each step.
const objectiveWorkers = 30

// computeObjective returns when a job should be finished, from the expected run times and
// advice requests of its steps.
func (m *Machine) computeObjective(j *job) time.Time {
	if j.isLongRunning() || len(j.active) == 0 {
		return j.accepted.Add(time.Duration(j.policy.Grace))
	}
	adviceTime := time.Duration(0)
	if j.policy.Advice.Required() {
		adviceTime = time.Duration(j.policy.Advice.Cost(objectiveWorkers))
	}
	var chain time.Duration
	for _, occ := range j.active {
		chain = max(chain, j.longestChain(func(i int) time.Duration { return adviceTime + m.expectedDuration(occ.steps[i]) }))
	}
	return j.accepted.Add(time.Duration(j.policy.SlackFactor*float64(chain)) + time.Duration(j.policy.Grace))
}

// jobRemaining returns the expected remaining time of a job: the length of the longest chain
// of its unfinished steps.
func (m *Machine) jobRemaining(j *job) time.Duration {
	var longest time.Duration
	for _, occ := range j.active {
		longest = max(longest, j.longestChain(func(i int) time.Duration { return m.stepRemaining(occ.steps[i]) }))
	}
	return longest
}

// slack returns the time until a job's objective minus the job's expected remaining time, which is computed
// once in a step of the machine: a scheduling pass asks for it for each step of each occurrence.
func (m *Machine) slack(j *job) time.Duration {
	if j.expectedEndStep != m.stepCount {
		j.expectedEnd, j.expectedEndStep = m.now.Add(m.jobRemaining(j)), m.stepCount
	}
	return j.objective.Sub(m.now) - j.expectedEnd.Sub(m.now)
}

// rankedJobs updates the ranks of the jobs that haven't ended and returns these jobs sorted
// by rank.
func (m *Machine) rankedJobs() []*job {
	live := make([]*job, 0, len(m.jobs))
	for _, j := range m.jobs {
		if j.state.Ended() {
			continue
		}
		j.rank = m.computeRank(j)
		live = append(live, j)
	}
	sort.Slice(live, func(a, b int) bool {
		if live[a].rank.less(live[b].rank) {
			return true
		}
		if live[b].rank.less(live[a].rank) {
			return false
		}
		return live[a].id < live[b].id
	})
	return live
}
