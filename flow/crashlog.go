package flow

import (
	"slices"
	"time"

	"endiveroute.example/endive"
)

// crashLog is the latest crashes of the pool's workers, except those under a run that had started
// alone. They tell how likely it is that a worker crashes for a reason of its own.
type crashLog struct {
	// since is when the log began.
	since   time.Time
	crashes []workerCrash
}

// workerCrash is the crash of a worker.
type workerCrash struct {
	at      time.Time
	address endive.Address
	// tasks are those that had runs on the worker.
	tasks []endive.TaskID
}

const (
	// crashMemory is how long a crash is kept.
	crashMemory = 20 * time.Second
	// minObservation and minCrashAge are the lower limits, in estimates, of the time that a log covers
	// and of the age of a run.
	minObservation = time.Second
	minCrashAge    = time.Second
)

// add adds a crash.
func (l *crashLog) add(crash workerCrash) { l.crashes = append(l.crashes, crash) }

// deleteOld deletes the crashes that are too old to count.
func (l *crashLog) deleteOld(now time.Time) {
	l.crashes = slices.DeleteFunc(l.crashes, func(crash workerCrash) bool { return now.Sub(crash.at) > crashMemory })
}

// without counts the crashes under which a task had no run. at is where it has now run: flapping is
// true if one of them was there.
func (l *crashLog) without(id endive.TaskID, at endive.Address) (count int, flapping bool) {
	for _, crash := range l.crashes {
		if !slices.Contains(crash.tasks, id) {
			count++
			flapping = flapping || crash.address == at
		}
	}
	return count, flapping
}

// crashedAt reports whether a worker at the address has crashed.
func (l *crashLog) crashedAt(address endive.Address) bool {
	return slices.ContainsFunc(l.crashes, func(crash workerCrash) bool { return crash.address == address })
}

// chance returns how likely it is that a certain one of the workers crashes for a reason of its own
// within the age of a run, when others crashes were seen. One crash more is assumed than was seen.
func (l *crashLog) chance(others, workers int, age time.Duration, now time.Time) float64 {
	observed := min(crashMemory, max(minObservation, now.Sub(l.since)))
	rate := float64(1+others) / (float64(max(1, workers)) * observed.Seconds())
	return min(1, rate*max(age, minCrashAge).Seconds())
}
