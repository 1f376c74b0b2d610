package flow

import (
	"sort"
	"time"
)

// rank orders workflows when there is more work than room. It answers bursts: what
// can still meet its objective goes before what can only be late, and that before
// what earns nothing any more. Within these, queues go by their rank, and the
// workflows of a queue by their objective.
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

// less orders ranks.
func (r rank) less(o rank) bool {
	if r.tier != o.tier {
		return r.tier < o.tier
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
		ends := make([]time.Duration, len(occ.steps))
		for i, s := range occ.steps {
			for _, before := range s.spec.After {
				ends[i] = max(ends[i], ends[before])
			}
			if s.unended > 0 {
				ends[i] += time.Duration(s.spec.Estimate)
			}
			longest = max(longest, ends[i])
		}
	}
	return longest
}

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
