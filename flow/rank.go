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
	done := m.now.Add(j.remaining())
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

// remaining returns the longest chain of estimated work that is left.
func (j *job) remaining() time.Duration {
	var longest time.Duration
	for _, occ := range j.occs {
		longest = max(longest, j.longest(func(i int) bool { return occ.steps[i].unended > 0 }))
	}
	return longest
}

// spare returns how much time a job has left beside its work until its objective.
func (m *Machine) spare(j *job) time.Duration { return j.objective.Sub(m.now) - j.remaining() }

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
