package flow

import (
	"maps"
	"slices"
	"strings"
	"time"

	"endiveroute.example/endive"
)

// A worker may report runs and ends of a workflow that the holder doesn't know. Mostly the workflow has ended long ago.
// But a holder that was replaced before its lease ended may have started a workflow that was accepted after the next
// one had read the rows: it is known only once the feed has delivered it. Until the holder has read everything that
// was stored before the report, it neither stops such a run nor acknowledges such an end. Otherwise it would start the
// task again.

// unreadEnd is the reported end of a run whose workflow this holder may not have read yet.
type unreadEnd struct {
	end        endive.EndReport
	reportedAt time.Time
}

// unreadRun is the last report of a run whose workflow this holder may not have read yet.
type unreadRun struct {
	report endive.RunReport
	// reportedAt is when the run was reported first.
	reportedAt time.Time
}

// mayBeUnread reports whether a task that a worker has reported just now isn't known, but may belong to a workflow that is
// stored and will be read.
func (m *Machine) mayBeUnread(id endive.TaskID) bool {
	if m.reportedTask(id) != nil {
		return false
	}
	job := jobOf(id)
	return m.jobs[job] == nil && !m.endedJobs.knownIDs[job] && (m.leavesAlone(job) || m.tenure.workReadAt.Before(m.now))
}

// leavesAlone reports whether a workflow is one that another build has started and this one can't read: its runs go on,
// and its ends stay listed until a holder records them.
func (m *Machine) leavesAlone(id endive.JobID) bool {
	skipped := m.skipped[id]
	return skipped != nil && !skipped.cancelled
}

// hasKnownRun reports whether the end is that of a run on the worker whose workflow is known, or known not to be stored.
func (w *worker) hasKnownRun(end endive.EndReport) bool {
	r := w.findRun(end.Task, end.Run)
	return r != nil && r.unread == nil
}

// jobOf returns the workflow of a task.
func jobOf(id endive.TaskID) endive.JobID {
	job, _, _ := strings.Cut(string(id), ".")
	return endive.JobID(job)
}

// keepUnreadEnd keeps the end of a run until its workflow is read.
func (m *Machine) keepUnreadEnd(w *worker, end endive.EndReport) {
	if r := w.findRun(end.Task, end.Run); r != nil {
		m.removeRun(r)
	}
	w.unreadEnds = append(w.unreadEnds, unreadEnd{end: end, reportedAt: m.now})
	m.unreadReports[w.id] = w
}

// keepUnreadRun keeps a run that goes on until its workflow is read.
func (m *Machine) keepUnreadRun(w *worker, report endive.RunReport) {
	r := m.addOrphan(w, nil, report)
	r.unread = &unreadRun{report: report, reportedAt: m.now}
	r.confirmedStep = m.stepCount
	m.unreadReports[w.id] = w
}

// applyUnreadReports applies what workers have reported of a workflow before it was read. An earlier holder may have
// started its other tasks, too.
func (m *Machine) applyUnreadReports(j *job) {
	for _, w := range m.unreadWorkers() {
		ends := w.unreadEnds
		w.unreadEnds = nil
		for _, unread := range ends {
			if jobOf(unread.end.Task) == j.id {
				m.applyEnd(w, unread.end)
			} else {
				w.unreadEnds = append(w.unreadEnds, unread)
			}
		}
		for _, r := range w.sortedRuns() {
			if r.unread != nil && jobOf(r.id) == j.id {
				m.removeRun(r)
				m.adoptOrStop(w, r.unread.report, true)
			}
		}
		m.forgetIfRead(w)
	}
}

// hasUnreadReports reports whether a worker has reported tasks of a workflow that wasn't read then.
func (m *Machine) hasUnreadReports(id endive.JobID) bool {
	for _, w := range m.unreadReports {
		if slices.ContainsFunc(w.unreadEnds, func(unread unreadEnd) bool { return jobOf(unread.end.Task) == id }) {
			return true
		}
		for _, r := range w.runs {
			if r.unread != nil && jobOf(r.id) == id {
				return true
			}
		}
	}
	return false
}

// dropUnreadReports stops the runs, and lets the ends be acknowledged, that were reported before readAt. All workflows
// that were stored before then have been read, so these aren't stored, except those that this build can't read.
func (m *Machine) dropUnreadReports(readAt time.Time) {
	if !m.tenure.loaded || readAt.IsZero() {
		return
	}
	m.tenure.workReadAt = endive.Latest(m.tenure.workReadAt, readAt)
	maps.DeleteFunc(m.unreadReports, func(id endive.WorkerID, w *worker) bool { return m.workers[id] != w })
	for _, w := range m.unreadWorkers() {
		w.unreadEnds = slices.DeleteFunc(w.unreadEnds, func(unread unreadEnd) bool {
			return !unread.reportedAt.After(readAt) && !m.leavesAlone(jobOf(unread.end.Task))
		})
		for _, r := range w.sortedRuns() {
			if r.unread != nil && !r.unread.reportedAt.After(readAt) && !m.leavesAlone(jobOf(r.id)) {
				r.unread = nil
				m.stopRun(r, "its workflow isn't stored")
			}
		}
		m.forgetIfRead(w)
	}
}

// forgetIfRead removes a worker without unread reports from those that have some, and polls it.
func (m *Machine) forgetIfRead(w *worker) {
	hasRuns := slices.ContainsFunc(w.sortedRuns(), func(r *run) bool { return r.unread != nil })
	if len(w.unreadEnds) > 0 || hasRuns {
		return
	}
	delete(m.unreadReports, w.id)
	m.pollNow(w)
}

// unreadWorkers returns the workers with unread reports in the order of their ids.
func (m *Machine) unreadWorkers() []*worker {
	if len(m.unreadReports) == 0 {
		return nil
	}
	return slices.DeleteFunc(slices.Clone(m.sortedWorkers), func(w *worker) bool { return m.unreadReports[w.id] != w })
}
