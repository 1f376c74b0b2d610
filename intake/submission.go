package intake

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/rows"
	"endiveroute.example/endive/wire"
)

// jobIDHashDigits is the number of hexadecimal digits of the key's hash in a
// job id.
const jobIDHashDigits = 20

// submission is a job that is being recorded.
type submission struct {
	job    endive.Job
	digest string
	slice  endive.SliceID
	// tags are the tags of all submissions of the same job under the same key.
	tags []Tag
	// conflicting are submissions of other jobs under the same key. They are
	// processed when this submission has been answered.
	conflicting []Submit
	// answerBy is when the clients are answered that the outcome is unknown.
	answerBy time.Time
	ended    bool
}

// submit validates a job and queues it for the next transaction.
func (m *Machine) submit(e Submit) {
	j := e.Job
	j.ID = ""
	j.Defaults()
	body, err := json.Marshal(j)
	if err != nil {
		m.emit(Answer{Tag: e.Tag, Status: Refused, Findings: endive.Findings{{Path: "job", Reason: err.Error()}}})
		return
	}
	sum := sha256.Sum256(body)
	digest := hex.EncodeToString(sum[:])
	if s := m.submissions[j.Key]; s != nil {
		if s.digest == digest {
			s.tags = append(s.tags, e.Tag)
			return
		}
		s.conflicting = append(s.conflicting, e)
		return
	}
	var f endive.Findings
	if j.Validate(&f, ""); len(f) > 0 {
		m.refuse(e.Tag, j, append(f, m.validate(j)...))
		return
	}
	if f := m.validate(j); len(f) > 0 {
		m.checkDuplicate(duplicateCheck{tag: e.Tag, job: j, digest: digest, findings: f})
		return
	}
	if m.pending >= maxPending {
		m.emit(Answer{Tag: e.Tag, Status: Unavailable, RetryAfter: retryAfter})
		return
	}
	j.ID = jobID(j)
	s := &submission{
		job: j, digest: digest, slice: m.chooseSlice(j).ID, tags: []Tag{e.Tag},
		answerBy: m.now.Add(unknownAfter),
	}
	m.submissions[j.Key] = s
	m.pending++
	m.queued = append(m.queued, s)
	m.byDeadline = append(m.byDeadline, s)
	m.scheduleFlush()
}

// refuse answers with all findings.
func (m *Machine) refuse(tag Tag, j endive.Job, f endive.Findings) {
	m.emit(endive.Decision{Kind: endive.DecisionRefuse, Subject: string(j.Key), Choice: "refused", Reason: f.Error()})
	m.emit(Answer{Tag: tag, Status: Refused, Findings: f})
}

// jobID returns the id of a job. Every entry derives the same id from the same
// name and key.
func jobID(j endive.Job) endive.JobID {
	sum := sha256.Sum256([]byte(j.Key))
	return endive.JobID(string(j.Name) + "-" + hex.EncodeToString(sum[:])[:jobIDHashDigits])
}

// accept answers all submissions of the job and notifies the slice's holder.
func (m *Machine) accept(s *submission, row rows.Submission, repeated bool) {
	m.answerSubmission(s, Answer{Status: Accepted, Job: row.Job, Slice: row.Slice, Repeated: repeated})
	if holder, ok := m.holders[row.Slice]; ok && !repeated {
		m.emit(endive.Send{To: holder, Message: &wire.JobNotice{Slice: string(row.Slice), Job: string(row.Job)}})
	}
}

// answerSubmission gives all tags the same answer, and processes the
// conflicting submissions of the key.
func (m *Machine) answerSubmission(s *submission, answer Answer) {
	s.ended = true
	delete(m.submissions, s.job.Key)
	m.pending--
	for i, tag := range s.tags {
		answer.Tag = tag
		if i > 0 && answer.Status == Accepted {
			answer.Repeated = true
		}
		m.emit(answer)
	}
	for _, e := range s.conflicting {
		m.submit(e)
	}
}

// answerOverdue answers the clients of overdue submissions that the outcome is
// unknown. The submissions themselves go on.
func (m *Machine) answerOverdue() {
	for len(m.byDeadline) > 0 {
		s := m.byDeadline[0]
		if !s.ended && m.now.Before(s.answerBy) {
			return
		}
		m.byDeadline = m.byDeadline[1:]
		if s.ended {
			continue
		}
		for _, tag := range s.tags {
			m.emit(Answer{Tag: tag, Status: Unknown, Job: s.job.ID, Slice: s.slice, RetryAfter: retryAfter})
		}
		s.tags = nil
	}
}
