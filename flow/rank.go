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
	tierHopeless
)

// precedence is the place of a rank's tier and queue together; the lowest goes first.
type precedence int

const (
	urgentOnTime precedence = iota
	urgentLate
	otherOnTime
	otherLate
	anyHopeless
)

func (r rank) precedence() precedence {
	urgent := r.queue == preemptRank
	switch {
	case r.tier == tierHopeless:
		return anyHopeless
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

// rankOf returns the place of a job in the order at this moment.
func (m *Machine) rankOf(j *job) rank {
	r := rank{queue: j.policy.Rank, objective: j.objective}
	if j.lasts() || j.spec.Schedule.Occurrences > 0 {
		return r
	}
	j.objective = m.objectiveOf(j)
	r.objective = j.objective
	done := m.now.Add(m.remainingOf(j))
	allowed := j.objective.Sub(j.accepted)
	switch {
	case !done.After(j.objective):
	case !done.After(j.accepted.Add(lateFactor * allowed)):
		r.tier = tierLate
	default:
		r.tier = tierHopeless
	}
	return r
}

// objectiveWorkers is how many workers the question about each step names that a
// workflow's objective allows for.
const objectiveWorkers = 30

// objectiveOf returns when a job should be over, by what is known of its steps.
func (m *Machine) objectiveOf(j *job) time.Time {
	if j.lasts() || len(j.occs) == 0 {
		return j.accepted.Add(time.Duration(j.policy.Grace))
	}
	question := time.Duration(0)
	if j.policy.Advice.Required() {
		question = time.Duration(j.policy.Advice.Cost(objectiveWorkers))
	}
	var chain time.Duration
	for _, occ := range j.occs {
		chain = max(chain, j.longest(func(i int) time.Duration { return question + m.expected(occ.steps[i]) }))
	}
	return j.accepted.Add(time.Duration(j.policy.SlackFactor*float64(chain)) + time.Duration(j.policy.Grace))
}

// remainingOf returns the longest chain of work that is left of a job.
func (m *Machine) remainingOf(j *job) time.Duration {
	var longest time.Duration
	for _, occ := range j.occs {
		longest = max(longest, j.longest(func(i int) time.Duration { return m.remaining(occ.steps[i]) }))
	}
	return longest
}

// spare returns how much time a job has left beside its work until its objective.
func (m *Machine) spare(j *job) time.Duration { return j.objective.Sub(m.now) - m.remainingOf(j) }

// ranked returns the live jobs in their order.
func (m *Machine) ranked() []*job {
	live := make([]*job, 0, len(m.jobs))
	for _, j := range m.jobs {
		if j.state.Ended() {
			continue
		}
		j.rank = m.rankOf(j)
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
