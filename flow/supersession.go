package flow

// A holder that doesn't reach the store keeps the leases of its runs alive after its own lease of the pool has
// ended: while the store is away for all entries, nobody else can hold the pool, and the runs go on. If only this
// holder is cut off, another entry holds the pool under a higher epoch, and the first worker that both reach tells
// this one. It remains unknown only if the two reach different workers, as after a cut between regions. The other
// holder starts the tasks of the workers that it doesn't reach once their leases have expired, so they mustn't be
// renewed then.

// A holder may be on one side of such a cut if at least one in silentShare of its workers, and minSilentWorkers of
// them, don't answer. A single worker may have crashed.
const (
	silentShare      = 3
	minSilentWorkers = 2
)

// mayRenew reports whether the leases of runs may be renewed now: this entry surely holds the pool, or another one
// would be noticed.
func (m *Machine) mayRenew() bool {
	return m.now.Before(m.tenure.leaseEnd) || !m.mayBeSuperseded()
}

// mayBeSuperseded reports whether so many workers don't answer that another entry may hold the pool and reach only
// those.
func (m *Machine) mayBeSuperseded() bool {
	silent, known := 0, 0
	for _, w := range m.sortedWorkers {
		if !w.listed && len(w.runs) == 0 {
			continue
		}
		known++
		if w.failedPolls > 0 {
			silent++
		}
	}
	return silent >= minSilentWorkers && silent*silentShare >= known
}
