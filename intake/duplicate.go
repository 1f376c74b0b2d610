package intake

import (
	"encoding/json"

	"endiveroute.example/endive"
	"endiveroute.example/endive/rows"
)

// duplicateCheck is a job that can't run under the configuration in force. It may be the
// retry of a submission that was accepted under an older one, so the table is
// asked before it is refused.
type duplicateCheck struct {
	tag      Tag
	job      endive.Job
	digest   string
	findings endive.Findings
}

func (m *Machine) checkDuplicate(c duplicateCheck) {
	key := rows.SubmissionKey(c.job.Key)
	m.checks[key] = append(m.checks[key], c)
	if len(m.checks[key]) == 1 {
		m.emit(endive.Fetch{Keys: []string{key}})
	}
}

// answerChecks answers the jobs that were answerChecks under one key.
func (m *Machine) answerChecks(list []duplicateCheck, e endive.Fetched) {
	for _, c := range list {
		var record rows.Submission
		switch {
		case e.Unavailable:
			m.emit(Answer{Tag: c.tag, Status: Unavailable, RetryAfter: retryAfter})
		case len(e.Rows) == 0 || json.Unmarshal(e.Rows[0].Value, &record) != nil:
			m.refuse(c.tag, c.job, c.findings)
		case record.Digest == c.digest:
			m.emit(Answer{Tag: c.tag, Status: Accepted, Job: record.Job, Slice: record.Slice, Repeated: true})
		default:
			m.emit(Answer{Tag: c.tag, Status: Conflict, Job: record.Job, Slice: record.Slice})
		}
	}
}
