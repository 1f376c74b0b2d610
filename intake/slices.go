package intake

import (
	"endiveroute.example/endive"
)

// slice is a slice with the sizes of its workers.
type slice struct {
	endive.Slice
	// sizes counts the workers by size.
	sizes   []sizeCount
	workers int
}

type sizeCount struct {
	size  endive.Resources
	count int
}

// updateSlices rebuilds the slices from the current members and configuration.
func (m *Machine) updateSlices() {
	m.slices = nil
	byID := make(map[endive.SliceID]*slice)
	for _, s := range endive.Slices(m.members.Endpoints, m.config) {
		one := &slice{Slice: s}
		byID[s.ID] = one
		m.slices = append(m.slices, one)
	}
	for _, e := range m.members.Endpoints {
		pool, ok := m.config.Pool(e.Pool)
		if e.Kind != endive.KindWorker || e.State == endive.MemberGone || !ok {
			continue
		}
		byID[endive.SliceOf(e.Instance, pool.Parts).ID].add(e.Size)
	}
}

func (s *slice) add(size endive.Resources) {
	s.workers++
	for i := range s.sizes {
		if s.sizes[i].size == size {
			s.sizes[i].count++
			return
		}
	}
	s.sizes = append(s.sizes, sizeCount{size: size, count: 1})
}

// capacityFor returns how many such tasks fit on the slice's workers if these
// are empty, up to limit.
func (s *slice) capacityFor(need endive.Resources, limit int) int {
	n := 0
	for _, c := range s.sizes {
		for one := need; one.Fits(c.size) && n < limit; one = one.Add(need) {
			n += c.count
		}
	}
	return min(n, limit)
}

// chooseSlice returns the slice with the fewest queued tasks per worker among
// those that are large enough for the job. Of equal ones, it prefers a slice in
// this entry's region.
func (m *Machine) chooseSlice(j endive.Job) *slice {
	var best *slice
	leastLoad, bestLocal := 0.0, false
	for _, s := range m.slices {
		if s.Pool != j.Pool || j.Region != "" && s.Region != j.Region || s.capacityFor(j.Need, concurrentTasks(j)) < concurrentTasks(j) {
			continue
		}
		load := float64(m.loads[s.ID].Queued) / float64(max(s.workers, 1))
		local := s.Region == m.members.Self.Region
		if best == nil || load < leastLoad || load == leastLoad && local && !bestLocal {
			best, leastLoad, bestLocal = s, load, local
		}
	}
	if best != nil {
		load := m.loads[best.ID]
		load.Queued += j.Tasks
		m.loads[best.ID] = load
	}
	return best
}

// concurrentTasks returns how many tasks of the job must run at the same time.
func concurrentTasks(j endive.Job) int {
	if j.Kind == endive.KindGang {
		return j.Tasks
	}
	return 1
}
