package flow

import (
	"sort"

	"endiveroute.example/endive"
)

// A holder that ends its tenure by itself gives the next one what that would read in the
// store. The load: entries that are stopped in turn, so that a pool changes its holder every
// few seconds while as much work comes as ever; all that waits for a new holder to read is
// late. What is given is what the store has: what isn't recorded yet the workers still list.

// handOver gives the next holder what is known. A write whose answer is still on its way
// may have been carried out, or be so before the next holder's fence: its ends aren't
// acknowledged, so the workers list them again.
func (m *Machine) handOver() { m.emit(HandOver{Snapshot: m.snapshot()}) }

// snapshot returns the rows of the pool as the store has them, and what is known of the
// workers that may run steps.
func (m *Machine) snapshot() PoolSnapshot {
	state := PoolSnapshot{Epoch: m.tenure.epoch, Revision: m.tenure.revision, Roster: m.recordedRoster()}
	ids := make([]endive.JobID, 0, len(m.jobs))
	for id := range m.jobs {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	for _, id := range ids {
		m.jobs[id].addTo(&state, m)
	}
	for _, ended := range m.endedJobs.toArchive {
		state.WorkRows = append(state.WorkRows, endive.Row{Key: JobKey(m.pool, ended.id)})
		state.StateRows = append(state.StateRows, endive.Row{Key: StateKey(m.pool, ended.id), Value: encodeRow(Progress{State: ended.state})})
	}
	for _, ended := range m.endedJobs.archived {
		state.EndedJobs = append(state.EndedJobs, ended.id)
	}
	return state
}

// addTo adds the rows of a job, and the advice on its steps.
func (j *job) addTo(state *PoolSnapshot, m *Machine) {
	state.WorkRows = append(state.WorkRows, endive.Row{Key: JobKey(m.pool, j.id), Value: j.submissionValue})
	if j.cancelled {
		state.WorkRows = append(state.WorkRows, endive.Row{Key: CancelKey(m.pool, j.id), Value: []byte("{}")})
	}
	if j.stateValue != nil {
		state.StateRows = append(state.StateRows, endive.Row{Key: StateKey(m.pool, j.id), Value: j.stateValue})
	}
	for _, occ := range j.sortedOccurrences() {
		for _, s := range occ.steps {
			if s.unfinished > 0 && s.tickets.surveyed() {
				state.Advice = append(state.Advice, s.tickets.forwarded(s.id)...)
			}
		}
	}
}

// forwarded returns what is known of a step's workers, an answer for each time at which
// tickets end.
func (t *tickets) forwarded(id endive.StepID) []ForwardedAdvice {
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

// recordedRoster returns the roster as it is recorded.
func (m *Machine) recordedRoster() []RosterWorker {
	roster := make([]RosterWorker, 0, len(m.recorder.roster))
	for id, status := range m.recorder.roster {
		entry := RosterWorker{ID: id, Draining: status == rosterDraining, Terminated: true}
		if w := m.workers[id]; w != nil {
			entry.Address, entry.Terminated = w.info.Address, false
		}
		roster = append(roster, entry)
	}
	sort.Slice(roster, func(i, j int) bool { return roster[i].ID < roster[j].ID })
	return roster
}
