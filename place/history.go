package place

import (
	"time"

	"endiveroute.example/endive"
)

const (
	// newestRunWeight is the weight of the newest run.
	newestRunWeight = 0.2
	// maxJobNames bounds the job names that are remembered.
	maxJobNames = 20000
)

// jobRuns is what the jobRuns of one job name have shown.
type jobRuns struct {
	// meanRunTime is the moving average of the run time.
	meanRunTime endive.Interval
	// failedOn lists the workers where it failed in a row.
	failedOn []endive.WorkerID
}

// runHistory remembers the runs by job name. It guides order and backfilling, never
// capacity.
type runHistory map[endive.JobName]*jobRuns

func (l runHistory) forJob(name endive.JobName) *jobRuns {
	r, ok := l[name]
	if !ok {
		r = &jobRuns{}
		if len(l) < maxJobNames {
			l[name] = r
		}
	}
	return r
}

// recordSuccess takes in the run time of a task that succeeded.
func (l runHistory) recordSuccess(name endive.JobName, runTime time.Duration) {
	r := l.forJob(name)
	r.failedOn = nil
	if r.meanRunTime == 0 {
		r.meanRunTime = endive.Interval(runTime)
		return
	}
	r.meanRunTime += endive.Interval(newestRunWeight * float64(runTime-time.Duration(r.meanRunTime)))
}

// expectedRunTime returns how long a task of the job is expectedRunTime to run.
func (m *Machine) expectedRunTime(j *job) time.Duration {
	if j.Kind == endive.KindWatcher {
		return time.Duration(endive.MaxRunTime)
	}
	if r, ok := m.history[j.Name]; ok && r.meanRunTime > 0 {
		return time.Duration(r.meanRunTime)
	}
	return time.Duration(j.RunTime)
}
