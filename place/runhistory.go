package place

import (
	"time"

	"endiveroute.example/endive"
)

const (
	// newestRunWeight is the weight of the newest run in the moving average of run
	// times.
	newestRunWeight = 0.2
	// maxJobNames bounds the number of job names whose runs are remembered.
	maxJobNames = 20000
)

// jobRuns summarizes the runs of the jobs of one name.
type jobRuns struct {
	// meanRunTime is a moving average.
	meanRunTime endive.Interval
	// failedOn lists the workers on which tasks have failed since the last success.
	failedOn []endive.WorkerID
}

// runHistory maps job names to their runs. It affects the order of jobs and
// backfilling, but never how much a worker may run.
type runHistory map[endive.JobName]*jobRuns

func (h runHistory) forJob(name endive.JobName) *jobRuns {
	r, ok := h[name]
	if !ok {
		r = &jobRuns{}
		if len(h) < maxJobNames {
			h[name] = r
		}
	}
	return r
}

// recordSuccess records the run time of a task that succeeded.
func (h runHistory) recordSuccess(name endive.JobName, runTime time.Duration) {
	r := h.forJob(name)
	r.failedOn = nil
	if r.meanRunTime == 0 {
		r.meanRunTime = endive.Interval(runTime)
		return
	}
	r.meanRunTime += endive.Interval(newestRunWeight * float64(runTime-time.Duration(r.meanRunTime)))
}

// expectedRunTime returns the expected run time of the job's tasks.
func (m *Machine) expectedRunTime(j *job) time.Duration {
	if j.Kind == endive.KindWatcher {
		return time.Duration(endive.MaxRunTime)
	}
	if r, ok := m.history[j.Name]; ok && r.meanRunTime > 0 {
		return time.Duration(r.meanRunTime)
	}
	return time.Duration(j.RunTime)
}
