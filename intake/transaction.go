package intake

import (
	"encoding/json"

	"endiveroute.example/endive"
	"endiveroute.example/endive/rows"
)

// pendingTransaction is a commit in flight, of either submissions or
// cancellations.
type pendingTransaction struct {
	submissions []*submission
	cancels     []*cancellation
}

// commit commits submissions in one transaction.
func (m *Machine) commit(list []*submission) {
	txn := endive.Transaction{WriteID: m.writeIDs.Next()}
	for _, s := range list {
		key := rows.SubmissionKey(s.job.Key)
		record, err := json.Marshal(rows.Submission{Job: s.job.ID, Digest: s.digest, Slice: s.slice})
		if err != nil {
			continue
		}
		job, err := json.Marshal(s.job)
		if err != nil {
			continue
		}
		txn.Conditions = append(txn.Conditions, endive.Condition{Key: key})
		txn.Writes = append(txn.Writes, endive.Write{Key: key, Value: record},
			endive.Write{Key: rows.JobKey(s.slice, s.job.ID), Value: job})
	}
	m.commits[txn.WriteID] = &pendingTransaction{submissions: append([]*submission(nil), list...)}
	m.emit(endive.Commit{Transaction: txn})
}

// handleCommitted handles the result of a transaction. While the result is
// unknown, nothing is answered.
func (m *Machine) handleCommitted(e endive.Committed) {
	g := m.commits[e.WriteID]
	if g == nil || e.Status == endive.CommitUnknown {
		return
	}
	delete(m.commits, e.WriteID)
	if len(g.cancels) > 0 {
		m.handleCancelsCommitted(g.cancels, e)
		return
	}
	for _, s := range g.submissions {
		switch e.Status {
		case endive.CommitApplied:
			m.accept(s, rows.Submission{Job: s.job.ID, Slice: s.slice}, false)
		case endive.CommitUnavailable:
			m.answerSubmission(s, Answer{Status: Unavailable, RetryAfter: retryAfter})
		}
	}
	if e.Status == endive.CommitConflict {
		m.handleConflict(g.submissions, e.Conflicts)
	}
}

// handleConflict answers the submissions whose key already exists, and queues
// each of the others for a transaction of its own.
func (m *Machine) handleConflict(list []*submission, conflicts []endive.Row) {
	existing := make(map[string]endive.Row, len(conflicts))
	for _, row := range conflicts {
		existing[row.Key] = row
	}
	for _, s := range list {
		row, ok := existing[rows.SubmissionKey(s.job.Key)]
		if !ok {
			m.singles = append(m.singles, s)
			m.scheduleFlush()
			continue
		}
		m.answerExistingKey(s, row)
	}
}

// answerExistingKey answers a submission whose key is already recorded.
func (m *Machine) answerExistingKey(s *submission, row endive.Row) {
	var record rows.Submission
	if err := json.Unmarshal(row.Value, &record); err != nil {
		m.answerSubmission(s, Answer{Status: Unknown, Job: s.job.ID, RetryAfter: retryAfter})
		return
	}
	if record.Digest == s.digest {
		m.accept(s, record, true)
		return
	}
	m.answerSubmission(s, Answer{Status: Conflict, Job: record.Job, Slice: record.Slice, Findings: endive.Findings{{
		Path: "key", Reason: "was already used for another job; choose a new key for a new job",
	}}})
}
