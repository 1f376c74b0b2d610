package place

import (
	"fmt"
	"time"

	"endiveroute.example/endive"
)

// explainJob answers with the job's status and the reason why it waits.
func (m *Machine) explainJob(e ExplainJob) {
	j, ok := m.jobs[e.Job]
	if !ok {
		m.emit(Explanation{Tag: e.Tag})
		return
	}
	status := j.status(m.slice.ID)
	if status.Waiting > 0 && j.parkReason == "" {
		status.Reason = m.waitingReason(j)
	}
	m.emit(Explanation{Tag: e.Tag, Found: true, Status: status})
}

// listJobs answers with the jobs' statuses, the oldest job first.
func (m *Machine) listJobs(e ListJobs) {
	listing := Listing{Tag: e.Tag}
	for _, j := range m.jobsInOrder() {
		if e.Limit > 0 && len(listing.Jobs) >= e.Limit {
			listing.More = true
			break
		}
		listing.Jobs = append(listing.Jobs, j.status(m.slice.ID))
	}
	m.emit(listing)
}

// waitingReason returns the reason why the job's next task hasn't started.
func (m *Machine) waitingReason(j *job) string {
	switch {
	case !m.active || !m.lease.Held || !m.now.Before(m.lease.ExpiresAt):
		return "the slice's lease has expired; no task starts until it is renewed"
	case !m.loader.loaded:
		return "a new holder is reading the slice's jobs"
	case m.handingOver:
		return "the slice is being handed over"
	case j.awaitsTakeover:
		return fmt.Sprintf("a new holder waits for answers from %d workers of the previous one, for at most %s",
			m.workers.countUnanswered(), m.takeover.previousLeasesEnd.Sub(m.now).Round(time.Second))
	case j.waitingTasks() == 0:
		return fmt.Sprintf("%d tasks wait for their backoff; %s", len(j.delayed), j.lastReason)
	case !j.team.withinQuota(j.Need):
		return fmt.Sprintf("team %s is at its quota", j.Team)
	case m.gangReservation != nil && m.gangReservation.job == j:
		return fmt.Sprintf("%d workers are reserved for the gang; its start is expected in %s",
			len(m.gangReservation.workers), m.gangReservation.startAt.Sub(m.now).Round(time.Second))
	}
	if j.Kind == endive.KindGang {
		return fmt.Sprintf("the gang's %d tasks don't fit at the same time; %s", j.waitingTasks(), j.lastReason)
	}
	return m.noCapacityReason(j)
}

// noCapacityReason counts the workers by the reason why they can't run the
// job's task.
func (m *Machine) noCapacityReason(j *job) string {
	var small, silent, unavailable, quarantined, full, reserved int
	for _, w := range m.workers.list {
		switch {
		case w.state == endive.MemberGone:
		case !j.Need.Fits(w.size):
			small++
		case !w.responsive || !w.inRoster:
			silent++
		case w.drained || w.state != endive.MemberLive:
			unavailable++
		case !w.passesQuarantine(m.now):
			quarantined++
		case !j.Need.Fits(w.free()):
			full++
		default:
			reserved++
		}
	}
	return fmt.Sprintf("no worker has enough free capacity now: %d too small, %d full, %d not answering, %d leaving or drained, "+
		"%d quarantined, %d reserved for others", small, full, silent, unavailable, quarantined, reserved)
}
