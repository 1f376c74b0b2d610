package flow

import (
	"time"

	"endiveroute.example/endive"
)

// extendLeases extends the leases of all runs up to end, at most by testMaxLeaseDuration.
func (f *fakeWorker) extendLeases(end endive.WorkerTime) {
	end = min(end, f.clock()+endive.WorkerTime(testMaxLeaseDuration.Milliseconds()))
	if end <= f.leaseEnd {
		return
	}
	f.leaseEnd = end
	incarnation := f.incarnation
	f.sim.after(time.Duration(float64(end-f.clock())/f.clockRate())*time.Millisecond, func() {
		if f.incarnation == incarnation && f.leaseEnd == end {
			f.expireLeases()
		}
	})
}

// discardEnds marks the ends that are still listed as discarded. After the leases have expired,
// or in a new incarnation, a holder needn't count them, and the tasks may run again.
func (f *fakeWorker) discardEnds() {
	for _, end := range f.ends {
		if f.discardedEnd >= end.Number {
			continue
		}
		switch end.Kind {
		case endive.EndSucceeded:
			delete(f.sim.succeeded, end.Task)
		case endive.EndFailed:
			f.sim.failures[end.Task]--
		}
	}
	f.discardedEnd = f.lastEnd
}

// expireLeases ends all runs because their leases have expired.
func (f *fakeWorker) expireLeases() {
	f.logRuns("has its lease expire")
	f.discardEnds()
	for _, r := range f.sortedRuns() {
		f.end(r, endive.EndLeaseExpired)
	}
}
