package intake

import (
	"encoding/json"

	"endiveroute.example/endive"
	"endiveroute.example/endive/rows"
)

// duplicateCheck is a submitted job that is invalid under the current
// configuration. It may repeat a submission that was accepted under an older
// configuration, so the key is looked up before the job is refused.
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

// answerChecks answers the submissions that waited for the lookup of one key.
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
