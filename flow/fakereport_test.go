package flow

import (
	"sort"
	"time"

	"endiveroute.example/endive"
)

// deleteRecordedEnds deletes the ends up to the last recorded one.
func (f *fakeWorker) deleteRecordedEnds(recorded endive.EndNumber) {
	for len(f.ends) > 0 && f.ends[0].Number <= recorded {
		f.log(f.ends[0].Task, "has its end acknowledged"+f.describeCall())
		f.ends = f.ends[1:]
	}
}

func (f *fakeWorker) report() endive.PollReport {
	report := endive.PollReport{Clock: f.clock(), StartTime: f.startTime, Ended: append([]endive.EndReport(nil), f.ends...)}
	if f.maxReportedEnds > 0 && len(f.ends) >= f.maxReportedEnds {
		report.Ended, report.More = report.Ended[:f.maxReportedEnds], true
	}
	report.More = report.More || f.alwaysMore
	for _, r := range f.sortedRuns() {
		report.Running = append(report.Running, endive.RunReport{Task: r.task, Run: r.number, Percent: r.percent(f.sim.now)})
	}
	return report
}

func (f *fakeWorker) sortedRuns() []*fakeRun {
	var runs []*fakeRun
	for _, r := range f.runs {
		runs = append(runs, r)
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].task < runs[j].task })
	return runs
}

// percent returns the progress of a run.
func (r *fakeRun) percent(now time.Time) int {
	if r.duration == 0 {
		return 0
	}
	return int(now.Sub(r.startedAt) * 100 / r.duration)
}
