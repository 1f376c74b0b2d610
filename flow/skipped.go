package flow

import (
	"maps"
	"slices"

	"endiveroute.example/endive"
)

// A workflow with a row that this build can't decode isn't run: another build, during an upgrade, may be able to
// decode it, and what has succeeded according to its progress must not run again. Its rows stay as they are, and a
// hand-over includes them.

// OutcomeSkipped is the outcome of a Decision about a workflow with a row that can't be decoded.
const OutcomeSkipped = "skipped"

// skippedJob has the rows of a workflow that isn't run because one of them can't be decoded.
type skippedJob struct {
	// submission and state are the values of its rows; state is nil if it has none.
	submission, state []byte
	cancelled         bool
}

// skipJob keeps the rows of a workflow that this build can't run.
func (m *Machine) skipJob(id endive.JobID, submission, state []byte, reason string) {
	if m.skipped[id] != nil {
		return
	}
	m.skipped[id] = &skippedJob{submission: submission, state: state, cancelled: m.earlyCancels[id]}
	delete(m.earlyCancels, id)
	m.endedJobs.removeRevoked(id)
	m.logDecision(Decision{Kind: DecisionJob, Job: id, Outcome: OutcomeSkipped, Reason: reason})
}

// removeRevoked removes a workflow from those that were cancelled and haven't been stored.
func (e *endedJobs) removeRevoked(id endive.JobID) {
	e.revoked = slices.DeleteFunc(e.revoked, func(revoked endedJob) bool { return revoked.id == id })
}

// addSkipped adds the rows of skipped workflows to a snapshot.
func (m *Machine) addSkipped(snapshot *PoolSnapshot) {
	for _, id := range slices.Sorted(maps.Keys(m.skipped)) {
		skipped := m.skipped[id]
		snapshot.WorkRows = append(snapshot.WorkRows, endive.Row{Key: JobKey(m.pool, id), Value: skipped.submission})
		if skipped.cancelled {
			snapshot.WorkRows = append(snapshot.WorkRows, cancelRow(m.pool, id))
		}
		if skipped.state != nil {
			snapshot.StateRows = append(snapshot.StateRows, endive.Row{Key: StateKey(m.pool, id), Value: skipped.state})
		}
	}
}
