package intake

import (
	"time"

	"endiveroute.example/endive"
)

const (
	// batchDelay collects submissions for one transaction.
	batchDelay = 3 * time.Millisecond
	// maxBatch bounds the submissions or cancellations of one transaction.
	maxBatch = 64
	// maxBatchBytes bounds the payloads of one transaction.
	maxBatchBytes = 512 * endive.KiB
	// maxPending bounds what waits for the table service at one entry.
	maxPending = 20000
	// unknownAfter is when a caller is told that the outcome isn't known yet.
	unknownAfter = 10 * time.Second
	retryAfter   = endive.Interval(time.Second)
)

// Machine accepts jobs and cancellations. It implements endive.Machine.
//
// Its events are Submit, Cancel, HoldersChanged, LoadHeard, endive.Committed,
// endive.Fetched, endive.MembersChanged, endive.ConfigChanged and endive.Wake.
// Its actions are Answer, endive.Commit, endive.Fetch, endive.Send (also to this
// entry itself, where it holds the slice), endive.Decision and endive.SetWake.
type Machine struct {
	writeIDs *endive.WriteIDs

	// now and out belong to the current step.
	now     time.Time
	actions []endive.Action

	config  endive.Config
	members endive.MembersChanged
	holders map[endive.SliceID]endive.EntryID
	slices  []*slice
	loads   map[endive.SliceID]LoadReceived

	// submissions are those without a final answer, by their key.
	submissions     map[endive.IdempotencyKey]*submission
	queued          []*submission
	singles         []*submission
	lookups         []*cancellation
	cancelsToRecord []*cancellation
	commits         map[endive.WriteID]*pendingTransaction
	fetches         map[string][]*cancellation
	checks          map[string][]duplicateCheck
	pending         int
	// byDeadline are submissions in the order of their deadlines.
	byDeadline []*submission
	flushAt    time.Time
	wakeAt     time.Time
}

// New returns the machine of an entry. The write ids must be unique to the run
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

// scheduleFlush lets others join before what is queued is written.
func (m *Machine) scheduleFlush() {
	if m.flushAt.IsZero() {
		m.flushAt = m.now.Add(batchDelay)
	}
}

// flush writes and reads what is due.
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

// batchSize returns how many of the first submissions go into one transaction.
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

// setWake asks for a wake-up when something is due next.
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
