package intake

import (
	"strings"

	"endiveroute.example/endive"
	"endiveroute.example/endive/rows"
	"endiveroute.example/endive/wire"
)

// maxLookups bounds how often a cancellation is tried before it is answered as
// unavailable. A commit that conflicts is followed by another lookup.
const maxLookups = 3

// cancellation is a cancellation in progress. The slice of the job has to be
// looked up.
type cancellation struct {
	tag   Tag
	job   endive.JobID
	slice endive.SliceID
	// version is the version of the job's row.
	version endive.Version
	lookups int
}

// queueCancel queues a cancellation for the next lookup.
func (m *Machine) queueCancel(e Cancel) {
	if m.pending >= maxPending {
		m.emit(Answer{Tag: e.Tag, Status: Unavailable, Job: e.Job, RetryAfter: retryAfter})
		return
	}
	m.pending++
	m.lookups = append(m.lookups, &cancellation{tag: e.Tag, job: e.Job})
	m.scheduleFlush()
}

// fetchJobRows fetches the rows of the jobs to cancel. It requests a row in
// every slice, since the job's slice isn't known.
func (m *Machine) fetchJobRows() {
	for len(m.lookups) > 0 {
		n := min(len(m.lookups), maxBatch)
		batch := append([]*cancellation(nil), m.lookups[:n]...)
		m.lookups = m.lookups[n:]
		var keys []string
		for _, c := range batch {
			for _, s := range m.slices {
				keys = append(keys, rows.JobKey(s.ID, c.job))
			}
			// A job that ends between two reads is found by one of them in this order.
			keys = append(keys, rows.EndedKey(c.job))
		}
		fetchKey := strings.Join(keys, " ")
		m.fetches[fetchKey] = append(m.fetches[fetchKey], batch...)
		m.emit(endive.Fetch{Keys: keys})
	}
}

// handleFetched handles the rows of jobs to cancel and of keys to check.
func (m *Machine) handleFetched(e endive.Fetched) {
	fetchKey := strings.Join(e.Keys, " ")
	if list, ok := m.checks[fetchKey]; ok {
		delete(m.checks, fetchKey)
		m.answerChecks(list, e)
		return
	}
	list, ok := m.fetches[fetchKey]
	if !ok {
		return
	}
	delete(m.fetches, fetchKey)
	found := make(map[string]endive.Row, len(e.Rows))
	for _, row := range e.Rows {
		if !row.Deleted {
			found[row.Key] = row
		}
	}
	for _, c := range list {
		m.handleLookup(c, found, e.Unavailable)
	}
}

func (m *Machine) handleLookup(c *cancellation, found map[string]endive.Row, unavailable bool) {
	if unavailable {
		m.answerCancel(c, Unavailable)
		return
	}
	for _, s := range m.slices {
		if row, ok := found[rows.JobKey(s.ID, c.job)]; ok {
			c.slice, c.version = s.ID, row.Version
			m.cancelsToRecord = append(m.cancelsToRecord, c)
			m.scheduleFlush()
			return
		}
	}
	if _, ok := found[rows.EndedKey(c.job)]; ok {
		m.answerCancel(c, Ended)
		return
	}
	m.answerCancel(c, NotFound)
}

// recordCancels commits cancellations, each on the condition that its job's row
// hasn't changed.
func (m *Machine) recordCancels() {
	for len(m.cancelsToRecord) > 0 {
		n := min(len(m.cancelsToRecord), maxBatch)
		batch := append([]*cancellation(nil), m.cancelsToRecord[:n]...)
		m.cancelsToRecord = m.cancelsToRecord[n:]
		txn := endive.Transaction{WriteID: m.writeIDs.Next()}
		for _, c := range batch {
			txn.Conditions = append(txn.Conditions, endive.Condition{Key: rows.JobKey(c.slice, c.job), Version: c.version})
			txn.Writes = append(txn.Writes, endive.Write{Key: rows.CancelKey(c.slice, c.job)})
		}
		m.commits[txn.WriteID] = &pendingTransaction{cancels: batch}
		m.emit(endive.Commit{Transaction: txn})
	}
}

// handleCancelsCommitted answers cancellations and notifies the holder of each
// slice once. After a conflict, the jobs are looked up again.
func (m *Machine) handleCancelsCommitted(list []*cancellation, e endive.Committed) {
	notified := make(map[endive.SliceID]bool)
	for _, c := range list {
		switch e.Status {
		case endive.CommitApplied:
			m.answerCancel(c, Accepted)
			if holder, ok := m.holders[c.slice]; ok && !notified[c.slice] {
				notified[c.slice] = true
				m.emit(endive.Send{To: holder, Message: &wire.CancelNotice{Slice: string(c.slice), Job: string(c.job)}})
			}
		case endive.CommitConflict:
			c.lookups++
			if c.lookups >= maxLookups {
				m.answerCancel(c, Unavailable)
				continue
			}
			m.lookups = append(m.lookups, c)
			m.scheduleFlush()
		default:
			m.answerCancel(c, Unavailable)
		}
	}
}

func (m *Machine) answerCancel(c *cancellation, status Status) {
	m.pending--
	answer := Answer{Tag: c.tag, Status: status, Job: c.job, Slice: c.slice}
	if status == Unavailable {
		answer.RetryAfter = retryAfter
	}
	m.emit(answer)
}
