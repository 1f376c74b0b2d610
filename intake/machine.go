package intake

import (
	"time"

	"endiveroute.example/endive"
)

const (
	// batchDelay is how long submissions are collected for one transaction.
	batchDelay = 3 * time.Millisecond
	// maxBatch bounds the submissions or cancellations in one transaction.
	maxBatch = 64
	// maxBatchBytes bounds the total payload of one transaction.
	maxBatchBytes = 512 * endive.KiB
	// maxPending bounds the submissions and cancellations that wait for the table
	// service at one entry.
	maxPending = 20000
	// unknownAfter is when clients are answered that the outcome of their
	// submission is unknown.
	unknownAfter = 10 * time.Second
	retryAfter   = endive.Interval(time.Second)
)

// Machine accepts jobs and cancellations. It implements endive.Machine.
//
// Its events are Submit, Cancel, HoldersChanged, LoadReceived,
// endive.Committed, endive.Fetched, endive.MembersChanged, endive.ConfigChanged
// and endive.Wake. Its actions are Answer, endive.Commit, endive.Fetch,
// endive.Send (also to this entry itself, if it holds the slice),
// endive.Decision and endive.SetWake.
type Machine struct {
	writeIDs *endive.WriteIDs

	// now and actions belong to the current step.
	now     time.Time
	actions []endive.Action

	config  endive.Config
	members endive.MembersChanged
	holders map[endive.SliceID]endive.EntryID
	slices  []*slice
	loads   map[endive.SliceID]LoadReceived

	// submissions holds the submissions without a final answer, by key.
	submissions     map[endive.IdempotencyKey]*submission
	queued          []*submission
	singles         []*submission
	lookups         []*cancellation
	cancelsToRecord []*cancellation
	commits         map[endive.WriteID]*pendingTransaction
	fetches         map[string][]*cancellation
	checks          map[string][]duplicateCheck
	pending         int
	// byDeadline lists submissions by rising answerBy.
	byDeadline []*submission
	flushAt    time.Time
	wakeAt     time.Time
}

// New returns the machine of an entry. The write ids must be unique to this run
// of the entry.
func New(writeIDs *endive.WriteIDs) *Machine {
	return &Machine{
		writeIDs: writeIDs, loads: make(map[endive.SliceID]LoadReceived),
		submissions: make(map[endive.IdempotencyKey]*submission),
		checks:      make(map[string][]duplicateCheck), commits: make(map[endive.WriteID]*pendingTransaction), fetches: make(map[string][]*cancellation),
	}
}

// Step implements endive.Machine.
func (m *Machine) Step(now time.Time, event endive.Event) []endive.Action {
	m.now, m.actions = now, nil
	switch e := event.(type) {
	case Submit:
		m.submit(e)
	case Cancel:
		m.queueCancel(e)
	case HoldersChanged:
		m.holders = e.Holders
	case LoadReceived:
		m.loads[e.Slice] = e
	case endive.MembersChanged:
		m.members = e
		m.updateSlices()
	case endive.ConfigChanged:
		m.config = e.Config
		m.updateSlices()
	case endive.Committed:
		m.handleCommitted(e)
	case endive.Fetched:
		m.handleFetched(e)
	case endive.Wake:
		m.wakeAt = time.Time{}
	}
	m.flush()
	m.answerOverdue()
	m.setWake()
	out := m.actions
	m.actions = nil
	return out
}

func (m *Machine) emit(action endive.Action) { m.actions = append(m.actions, action) }

// scheduleFlush schedules the next flush after batchDelay, so that more
// submissions can join the batch.
func (m *Machine) scheduleFlush() {
	if m.flushAt.IsZero() {
		m.flushAt = m.now.Add(batchDelay)
	}
}

// flush commits the queued submissions, fetches the rows for lookups and
// commits cancellations, if a flush is due.
func (m *Machine) flush() {
	if m.flushAt.IsZero() || m.now.Before(m.flushAt) {
		return
	}
	m.flushAt = time.Time{}
	for len(m.queued) > 0 {
		n := batchSize(m.queued)
		m.commit(m.queued[:n])
		m.queued = m.queued[n:]
	}
	for _, s := range m.singles {
		m.commit([]*submission{s})
	}
	m.singles = nil
	m.fetchJobRows()
	m.recordCancels()
}

// batchSize returns how many of the first submissions fit into one transaction.
func batchSize(list []*submission) int {
	size := 0
	for n, s := range list {
		size += len(s.job.Payload)
		if n == maxBatch || n > 0 && size > int(maxBatchBytes) {
			return n
		}
	}
	return len(list)
}

// setWake requests a wake-up at the time of the next due work.
func (m *Machine) setWake() {
	next := m.flushAt
	if len(m.byDeadline) > 0 && (next.IsZero() || m.byDeadline[0].answerBy.Before(next)) {
		next = m.byDeadline[0].answerBy
	}
	if !next.IsZero() && (m.wakeAt.IsZero() || next.Before(m.wakeAt)) {
		m.wakeAt = next
		m.emit(endive.SetWake{At: next})
	}
}
