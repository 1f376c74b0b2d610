package endive

import (
	"hash/fnv"
	"sort"
	"strconv"
)

// Slice is a partition of the workers: those of one pool in one region, or one of
// several parts of them if the pool is configured to be split.
type Slice struct {
	ID     SliceID
	Pool   PoolName
	Region Region
}

// SliceOf returns the slice that a worker belongs to. In each region, the pool is
// split into the given number of slices; with fewer than 2 parts it is one slice.
func SliceOf(worker Instance, parts int) Slice {
	id := string(worker.Pool) + "." + string(worker.Region)
	if parts > 1 {
		h := fnv.New32a()
		h.Write([]byte(worker.ID))
		id += "." + strconv.Itoa(int(h.Sum32()%uint32(parts)))
	}
	return Slice{ID: SliceID(id), Pool: worker.Pool, Region: worker.Region}
}

// Slices returns the slices that the workers among endpoints belong to, sorted by id.
func Slices(endpoints Endpoints, config Config) []Slice {
	seen := make(map[SliceID]bool)
	var slices []Slice
	for _, e := range endpoints {
		if e.Kind != KindWorker {
			continue
		}
		pool, ok := config.Pool(e.Pool)
		if !ok {
			continue
		}
		slice := SliceOf(e.Instance, pool.Parts)
		if seen[slice.ID] {
			continue
		}
		seen[slice.ID] = true
		slices = append(slices, slice)
	}
	sort.Slice(slices, func(i, j int) bool { return slices[i].ID < slices[j].ID })
	return slices
}
