package flow

import (
	"time"

	"endiveroute.example/endive"
)

// crashTime is how long a crashed worker is down.
const crashTime = 4 * time.Second

// crashUnder crashes the worker under a run, unless the run has ended.
func (f *fakeWorker) crashUnder(run *fakeRun) {
	if !run.ended {
		f.sim.crashes[run.task]++
		f.crash()
	}
}

// crash ends the worker's process without a report. The worker stays listed until it is started
// again, under the same id or as another worker at the same address.
func (f *fakeWorker) crash() {
	if f.terminated {
		return
	}
	capacity, labels := f.info.Capacity, f.info.Labels
	for _, r := range f.sortedRuns() {
		f.breakGang(r)
	}
	f.goDown()
	f.sim.after(crashTime, func() {
		if f.sim.random.Intn(2) == 0 {
			f.terminated, f.down = false, false
			f.restart()
			return
		}
		f.addressReused, f.unlisted = true, true
		f.sim.addWorker(string(f.id)+"x", capacity, labels...)
	})
}

// breakGang ends the other members of a run's gang on the other workers.
func (f *fakeWorker) breakGang(run *fakeRun) {
	if !run.gang {
		return
	}
	for _, other := range f.sim.workers {
		for _, member := range other.sortedRuns() {
			if other != f && member.gang && member.number == run.number {
				other.end(member, endive.EndGangBroken)
			}
		}
	}
}

// mayBeGivenUp reports whether so many workers have crashed under a task of the workflow that it is to be given up, whatever
// their cause: the task may not start three times more after three crashes.
func (w *simulation) mayBeGivenUp(id endive.JobID) bool {
	for task, crashes := range w.endedUnder {
		if jobOf(task) == id && crashes >= maxAllCrashes {
			return true
		}
	}
	return false
}
