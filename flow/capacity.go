package flow

import (
	"time"

	"endiveroute.example/endive"
)

// A worker's capacity may shrink and grow again while tasks run there. The current capacity, as
// the platform lists it, decides what starts. What may already run on a worker that doesn't
// answer is limited by the largest capacity under which anything was started there. The roster
// has it, so that the next holder knows it too.

// setInfo applies the platform's entry of the worker.
func (w *worker) setInfo(info endive.FleetWorker) {
	w.info = info
	w.largestCapacity = w.largestCapacity.Max(info.Capacity)
}

// mayHaveRun reports whether an earlier holder may have started a task of a step on the worker.
func (w *worker) mayHaveRun(s *step) bool { return w.couldRunIn(s, w.largestCapacity) }

// rosterAllowsStarts reports whether the stored roster has the worker with its current capacity or
// a larger one, so that the next holder will know what may run there.
func (m *Machine) rosterAllowsStarts(w *worker) bool {
	record := m.recorder.roster[w.id]
	return record.status != rosterAbsent && w.info.Capacity.Fits(record.capacity)
}

// freeSoon returns the capacity that is free, or that runs will probably free soon. It isn't
// negative if the worker has shrunk below what runs there.
func (w *worker) freeSoon() endive.Resources {
	return w.free().Add(w.freeingSoon).Max(endive.Resources{})
}

// freed returns how much of the capacity that runs free is available then. If the worker has
// shrunk below what runs there, the rest only makes up for what it lacks.
func (w *worker) freed(byRuns endive.Resources) endive.Resources {
	lacking := w.used.Sub(w.info.Capacity).Max(endive.Resources{})
	return byRuns.Sub(lacking).Max(endive.Resources{})
}

// listExpired reports whether the list of workers is too old for starts: workers may have shrunk
// since it was read.
func (m *Machine) listExpired() bool {
	return !m.listed.StartsUntil.IsZero() && !m.now.Before(m.listed.StartsUntil)
}

// sendBy returns the deadline for sending an order to start that is decided on now.
func (m *Machine) sendBy() time.Time {
	return endive.Earliest(endive.Earliest(m.tenure.leaseEnd, m.listed.StartsUntil), m.now.Add(maxSendDelay))
}

// holdsItsRuns reports whether the runs on the worker fit its capacity, which may have shrunk.
func (w *worker) holdsItsRuns() bool { return w.used.Fits(w.info.Capacity) }
