package flow

import (
	"slices"
	"time"

	"endiveroute.example/endive"
)

// Estimates are rough, and some are off by far. How fast a step's tasks really go shows
// in the progress of those that run; a worker is slow only if they go faster elsewhere.
// It answers loads in which many steps take several times their estimates: judged by
// these alone, sound runs would be stopped on one worker after the other.

// minPaceProgress is how far, in percent, a run must have come for its pace to be known:
// progress is told in whole percents.
const minPaceProgress = 10

// projectedDuration returns how long a run takes in all, by its progress so far. It errs to the short
// side, since progress is cut to whole percents.
func (r *run) projectedDuration(now time.Time) time.Duration {
	// A worker may tell of less progress than before.
	return now.Sub(r.startedAt) * fullPercent / time.Duration(max(1, r.percent-r.firstPercent+1))
}

// updatePace notes how fast a run goes.
func (m *Machine) updatePace(r *run) {
	if r.percent-r.firstPercent >= minPaceProgress {
		r.task.step.recordPace(r.worker.id, r.projectedDuration(m.now))
	}
}

// recordPace notes how long a task of the step takes on a worker.
func (s *step) recordPace(id endive.WorkerID, duration time.Duration) {
	if s.paceByWorker == nil {
		s.paceByWorker = make(map[endive.WorkerID]endive.Interval)
	}
	s.paceByWorker[id] = endive.Interval(duration)
	s.pace = median(s.paceByWorker, "")
}

// paceElsewhere returns how long a task of the step takes on the other workers, if any
// has shown it.
func (s *step) paceElsewhere(id endive.WorkerID) (time.Duration, bool) {
	pace := median(s.paceByWorker, id)
	return time.Duration(pace), pace > 0
}

// median returns the median of the paces on all workers but one; 0 if there is none.
func median(byWorker map[endive.WorkerID]endive.Interval, except endive.WorkerID) endive.Interval {
	paces := make([]endive.Interval, 0, len(byWorker))
	for id, pace := range byWorker {
		if id != except {
			paces = append(paces, pace)
		}
	}
	if len(paces) == 0 {
		return 0
	}
	slices.Sort(paces)
	return paces[len(paces)/2]
}

// runsElsewhere reports whether another worker runs a task of the step, whose pace will
// show.
func (s *step) runsElsewhere(w *worker) bool {
	for id := range s.runsPerWorker {
		if id != w.id {
			return true
		}
	}
	return false
}
