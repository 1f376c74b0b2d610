package flow

import (
	"sort"
	"time"
)

// rank orders workflows when there is more work than room. It answers bursts, and the
// backlog after a takeover: what can still meet its objective goes before what can only
// be late, and that before what earns nothing any more. Urgent work that is late still
// goes before other queues' work that is not: it is small, its callers wait, and the
// others have time to spare. Within these, queues go by their rank, and the workflows of
// a queue by their objective.
type rank struct {
	tier      tier
	queue     int
	objective time.Time
}

// tier says what a workflow can still reach.
type tier int

const (
	tierOnTime tier = iota
	tierLate
	tierTooLate
)

// precedence is the place of a rank's tier and queue together; the lowest goes first.
type precedence int

const (
	urgentOnTime precedence = iota
	urgentLate
	otherOnTime
	otherLate
	anyTooLate
)

func (r rank) precedence() precedence {
	urgent := r.queue == preemptRank
	switch {
	case r.tier == tierTooLate:
		return anyTooLate
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

// less orders ranks.
func (r rank) less(o rank) bool {
	if r.precedence() != o.precedence() {
		return r.precedence() < o.precedence()
	}
	if r.queue != o.queue {
		return r.queue < o.queue
	}
	return r.objective.Before(o.objective)
}

// computeRank returns the place of a job in the order at this moment.
func (m *Machine) computeRank(j *job) rank {
	r := rank{queue: j.policy.Rank, objective: j.objective}
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

// objectiveWorkers is how many workers the question about each step names that a
// workflow's objective allows for.
const objectiveWorkers = 30

// computeObjective returns when a job should be over, by what is known of its steps.
func (m *Machine) computeObjective(j *job) time.Time {
	if j.isLongRunning() || len(j.occurrences) == 0 {
		return j.accepted.Add(time.Duration(j.policy.Grace))
	}
	adviceTime := time.Duration(0)
	if j.policy.Advice.Required() {
		adviceTime = time.Duration(j.policy.Advice.Cost(objectiveWorkers))
	}
	var chain time.Duration
	for _, occ := range j.occurrences {
		chain = max(chain, j.longestChain(func(i int) time.Duration { return adviceTime + m.expectedDuration(occ.steps[i]) }))
	}
	return j.accepted.Add(time.Duration(j.policy.SlackFactor*float64(chain)) + time.Duration(j.policy.Grace))
}

// jobRemaining returns the longest chain of work that is left of a job.
func (m *Machine) jobRemaining(j *job) time.Duration {
	var longest time.Duration
	for _, occ := range j.occurrences {
		longest = max(longest, j.longestChain(func(i int) time.Duration { return m.stepRemaining(occ.steps[i]) }))
	}
	return longest
}

// slack returns how much time a job has left beside its work until its objective.
func (m *Machine) slack(j *job) time.Duration { return j.objective.Sub(m.now) - m.jobRemaining(j) }

// rankedJobs returns the live jobs in their order.
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
