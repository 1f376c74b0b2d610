package flow

import (
	"sort"

	"endiveroute.example/endive"
)

// A holder that releases its pool sends the next holder a snapshot of the rows that it would
// otherwise read from the store. This matters when entries are stopped one after the other:
// a pool then changes its holder every few seconds at the usual rate of submissions, and each
// wait for a new holder to read the rows delays the work. The snapshot has only what the store
// has: the workers still list the ends of runs that aren't recorded.

// handOver sends the snapshot to the next holder. A write that is still in flight may have
// been committed, or may be committed before the next holder writes its fence. The ends of runs
// in that write aren't acknowledged to the workers, so the workers list them again.
func (m *Machine) handOver() { m.emit(HandOver{Snapshot: m.snapshot()}) }

// snapshot returns the rows of the pool as they are stored, and the advice on the steps that
// aren't finished.
func (m *Machine) snapshot() PoolSnapshot {
	snapshot := PoolSnapshot{Epoch: m.tenure.epoch, Revision: m.tenure.revision, Roster: m.recordedRoster(), QuotaParts: m.quotas.division.HandOver()}
	ids := make([]endive.JobID, 0, len(m.jobs))
	for id := range m.jobs {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	for _, id := range ids {
		m.jobs[id].addToSnapshot(&snapshot, m)
	}
	m.addSkipped(&snapshot)
	for _, ended := range m.endedJobs.toArchive {
		snapshot.WorkRows = append(snapshot.WorkRows, endive.Row{Key: JobKey(m.pool, ended.id)})
		snapshot.StateRows = append(snapshot.StateRows, endive.Row{Key: StateKey(m.pool, ended.id), Value: encodeRow(ended.lastProgress())})
	}
	for _, revoked := range m.endedJobs.revoked {
		snapshot.WorkRows = append(snapshot.WorkRows, cancelRow(m.pool, revoked.id))
	}
	for _, ended := range m.endedJobs.archived {
		snapshot.EndedJobs = append(snapshot.EndedJobs, ended.id)
	}
	return snapshot
}

// addToSnapshot adds the rows of a job and the advice on its steps to a snapshot.
func (j *job) addToSnapshot(snapshot *PoolSnapshot, m *Machine) {
	snapshot.WorkRows = append(snapshot.WorkRows, endive.Row{Key: JobKey(m.pool, j.id), Value: j.submissionValue})
	if j.cancelled {
		snapshot.WorkRows = append(snapshot.WorkRows, cancelRow(m.pool, j.id))
	}
	if j.stateValue != nil {
		snapshot.StateRows = append(snapshot.StateRows, endive.Row{Key: StateKey(m.pool, j.id), Value: j.stateValue})
	}
	for _, occ := range j.sortedOccurrences() {
		for _, s := range occ.steps {
			if s.unfinished > 0 && s.tickets.surveyed() {
				snapshot.Advice = append(snapshot.Advice, s.tickets.toForwardedAdvice(s.id)...)
			}
		}
	}
}

// toForwardedAdvice returns the advice on a step, with one element for each expiry time of its
// tickets.
func (t *tickets) toForwardedAdvice(id endive.StepID) []ForwardedAdvice {
	first := ForwardedAdvice{Step: id}
	for worker := range t.ineligible {
		first.Ineligible = append(first.Ineligible, worker)
	}
	sort.Slice(first.Ineligible, func(i, j int) bool { return first.Ineligible[i] < first.Ineligible[j] })
	answers := []ForwardedAdvice{first}
	for _, worker := range t.eligibleIDs {
		grant := t.eligible[worker]
		last := &answers[len(answers)-1]
		if len(last.Grants) > 0 && !last.Expiry.Equal(grant.expiry) {
			answers = append(answers, ForwardedAdvice{Step: id})
			last = &answers[len(answers)-1]
		}
		last.Expiry = grant.expiry
		last.Grants = append(last.Grants, endive.AdviceGrant{Worker: worker, Ticket: grant.value})
	}
	return answers
}

// recordedRoster returns the roster as it is stored.
func (m *Machine) recordedRoster() []RosterWorker {
	roster := make([]RosterWorker, 0, len(m.recorder.roster))
	for id, record := range m.recorder.roster {
		entry := RosterWorker{ID: id, Draining: record.status == rosterDraining, Terminated: true}
		if w := m.workers[id]; w != nil {
			entry = w.rosterEntry(record)
		}
		roster = append(roster, entry)
	}
	sort.Slice(roster, func(i, j int) bool { return roster[i].ID < roster[j].ID })
	return roster
}
