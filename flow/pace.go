package flow

import (
	"slices"
	"time"

	"endiveroute.example/endive"
)

// Estimates are rough, and some are wrong by a large factor. The actual speed of a step's
// tasks is derived from the progress of its runs, and a worker counts as slow only if
// tasks of the same step run faster on other workers. The comparison matters under loads in
// which many steps take several times their estimates: compared with the estimates alone,
// healthy runs would be stopped on one worker after the other.

// minPaceProgress is the progress, in percent, that a run must have made before its pace is
// computed. Progress is reported in whole percents, so less would be inexact.
const minPaceProgress = 10

// projectedDuration returns the total duration of a run, extrapolated from its progress. It
// errs on the short side because progress is rounded down to whole percents.
func (r *run) projectedDuration(now time.Time) time.Duration {
	// A worker may report less progress than before.
	return now.Sub(r.startedAt) * fullPercent / time.Duration(max(1, r.percent-r.firstPercent+1))
}

// updatePace records the pace of a run once it has made enough progress.
func (m *Machine) updatePace(r *run) {
	if r.percent-r.firstPercent >= minPaceProgress {
		r.task.step.recordPace(r.worker.id, r.projectedDuration(m.now))
	}
}

// recordPace records the duration of a task of the step on a worker and updates the median.
func (s *step) recordPace(id endive.WorkerID, duration time.Duration) {
	if s.paceByWorker == nil {
		s.paceByWorker = make(map[endive.WorkerID]endive.Interval)
	}
	s.paceByWorker[id] = endive.Interval(duration)
	s.pace = median(s.paceByWorker, "")
}

// paceElsewhere returns the median duration of the step's tasks on the other workers; false
// if none is known.
func (s *step) paceElsewhere(id endive.WorkerID) (time.Duration, bool) {
	pace := median(s.paceByWorker, id)
	return time.Duration(pace), pace > 0
}

// median returns the median pace of all workers except one; 0 if there is none.
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

// runsElsewhere reports whether another worker runs a task of the step, so that its pace
// will be known for comparison.
func (s *step) runsElsewhere(w *worker) bool {
	for id := range s.runsPerWorker {
		if id != w.id {
			return true
		}
	}
	return false
}
