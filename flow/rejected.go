package flow

import (
	"slices"
	"time"
)

// The store may reject a transaction because of one of its rows, for example one that is too large.
// The other rows must be recorded nevertheless. So the holder sends fewer and fewer rows at a time
// until a rejected transaction has only one, and puts that row aside.

const (
	// maxTransactionBytes is the size of jobs' rows above which no other is added to a transaction. The
	// store takes 1 MB, and base64 enlarges values by a third.
	maxTransactionBytes = 500 << 10
	// rejectedRetryDelay is the pause before the roster or the status is written again that the store has
	// rejected. Both change all the time.
	rejectedRetryDelay = 5 * time.Second
)

// OutcomeRowRejected is the outcome of a Decision about a row that the store rejects. It is logged as an
// error.
const OutcomeRowRejected = "row rejected"

// writeBatch limits the rows of a transaction after the store has rejected one. The zero value is the
// usual limit.
type writeBatch struct {
	// limit is the maximum number of jobs; 0 for maxRowsPerWrite. Below it, jobs, the roster and the
	// status are written separately.
	limit int
}

// maxJobs returns how many jobs' rows a transaction may have.
func (b *writeBatch) maxJobs() int {
	if b.limit == 0 {
		return maxRowsPerWrite
	}
	return b.limit
}

// allows reports whether the roster or the status may be added to a transaction.
func (b *writeBatch) allows(sent *pendingWrite) bool {
	return b.limit == 0 || len(sent.jobs) == 0 && sent.roster == nil
}

// shrink halves the number of rows after a rejected transaction with the given number of jobs.
func (b *writeBatch) shrink(jobs int) { b.limit = max(1, jobs/2) }

// grow doubles the number of rows after a transaction was committed.
func (b *writeBatch) grow() {
	b.limit *= 2
	if b.limit >= maxRowsPerWrite {
		b.limit = 0
	}
}

// single reports whether the transaction has only one part that the store can have rejected.
func (b *writeBatch) single(sent *pendingWrite) bool {
	return b.limit > 0 && len(sent.jobs) <= 1 && (len(sent.jobs) == 0 || sent.roster == nil && sent.status == nil)
}

// handleRejected makes the next transactions smaller, or puts the rejected row aside. The contents of the
// transaction are to be written again already.
func (m *Machine) handleRejected(sent *pendingWrite) {
	rec := &m.recorder
	if !rec.batch.single(sent) {
		rec.batch.shrink(len(sent.jobs))
		rec.retryAt = m.now
		return
	}
	switch {
	case len(sent.jobs) == 1:
		m.putAside(sent.jobs[0], len(sent.states[sent.jobs[0]]))
		rec.retryAt = m.now
	case sent.roster != nil:
		m.logDecision(Decision{Kind: DecisionRecord, Outcome: OutcomeRowRejected, Reason: "the roster, " + formatInt(int64(len(sent.roster))) + " workers"})
		rec.retryAt = m.now.Add(rejectedRetryDelay)
	case sent.status != nil:
		m.logDecision(Decision{Kind: DecisionRecord, Outcome: OutcomeRowRejected, Reason: "the status, " + formatInt(int64(len(sent.status.Pending))) + " queues"})
		m.status.checkAt = m.now.Add(rejectedRetryDelay)
	}
}

// putAside stops the recording of a job whose row the store rejects. Nothing more of it is started, and
// the ends of its runs aren't acknowledged, until the job ends: the row of an ended job is small.
func (m *Machine) putAside(j *job, size int) {
	m.logDecision(Decision{Kind: DecisionRecord, Job: j.id, Outcome: OutcomeRowRejected, Reason: "the store doesn't take the job's row, " + formatInt(int64(size)) + " bytes"})
	m.recorder.dirty = slices.DeleteFunc(m.recorder.dirty, func(other *job) bool { return other == j })
	j.rowStatus = rowAside
	if j.state.Ended() && len(j.encodeProgress()) < size {
		m.markDirty(j, rowUrgent)
	}
}
