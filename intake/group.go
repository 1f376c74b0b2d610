package intake

import (
	"encoding/json"

	"endiveroute.example/endive"
	"endiveroute.example/endive/rows"
)

// group is what one transaction writes.
type group struct {
	submissions []*submission
	cancels     []*cancellation
}

// commit writes submissions in one transaction.
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
	m.commits[txn.WriteID] = &group{submissions: append([]*submission(nil), list...)}
	m.emit(endive.Commit{Transaction: txn})
}

// committed goes on with the submissions or cancellations of a transaction.
// Nothing is answered while it is unknown.
func (m *Machine) committed(e endive.Committed) {
	g := m.commits[e.WriteID]
	if g == nil || e.Status == endive.CommitUnknown {
		return
	}
	delete(m.commits, e.WriteID)
	if len(g.cancels) > 0 {
		m.cancelsCommitted(g.cancels, e)
		return
	}
	for _, s := range g.submissions {
		switch e.Status {
		case endive.CommitApplied:
			m.accept(s, rows.Submission{Job: s.job.ID, Slice: s.slice}, false)
		case endive.CommitUnavailable:
			m.finish(s, Answer{Status: Unavailable, RetryAfter: retryAfter})
		}
	}
	if e.Status == endive.CommitConflict {
		m.conflicted(g.submissions, e.Conflicts)
	}
}

// conflicted answers the submissions whose key was taken, and tries each of the
// others in a transaction of its own.
func (m *Machine) conflicted(list []*submission, conflicts []endive.Row) {
	taken := make(map[string]endive.Row, len(conflicts))
	for _, row := range conflicts {
		taken[row.Key] = row
	}
	for _, s := range list {
		row, ok := taken[rows.SubmissionKey(s.job.Key)]
		if !ok {
			m.alone = append(m.alone, s)
			m.wantFlush()
			continue
		}
		m.taken(s, row)
	}
}

// taken answers a submission whose key stands in the table.
func (m *Machine) taken(s *submission, row endive.Row) {
	var record rows.Submission
	if err := json.Unmarshal(row.Value, &record); err != nil {
		m.finish(s, Answer{Status: Unknown, Job: s.job.ID, RetryAfter: retryAfter})
		return
	}
	if record.Digest == s.digest {
		m.accept(s, record, true)
		return
	}
	m.finish(s, Answer{Status: Conflict, Job: record.Job, Slice: record.Slice, Findings: endive.Findings{{
		Path: "key", Reason: "stands for another job already; choose a new key for a new job",
	}}})
}
