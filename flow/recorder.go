package flow

import (
	"errors"
	"slices"
	"sort"
	"time"

	"endiveroute.example/endive"
)

// recorder writes the holder's state to the store, one transaction at a time.
type recorder struct {
	fence        Fence
	fenceVersion endive.Version
	// roster is the stored roster: the workers that may have runs.
	roster map[endive.WorkerID]rosterRecord

	// dirty are the jobs whose rows have to be written; urgent is true if the status of one
	// of these rows is rowUrgent.
	dirty  []*job
	urgent bool
	// rosterStale is true if the workers may have changed since the roster was written.
	rosterStale bool

	listedEnds []listedEnd
	inFlight   *pendingWrite
	// batch limits the rows of a transaction after the store has rejected one.
	batch writeBatch
	// nextAt is when the next write is due; zero for never.
	nextAt time.Time
	// retryAt is the earliest time of the next write after a failed one.
	retryAt     time.Time
	lastWriteAt time.Time
	// cleanupRetryAt is the earliest time of the next cleanup after a failed one.
	cleanupRetryAt time.Time
}

// listedEnd is the end of a run that a worker reported in a poll and that isn't recorded yet.
type listedEnd struct {
	worker *worker
	// incarnation is the number of the worker's restarts that the machine had observed when
	// the worker reported the end. After a restart the worker numbers the ends of runs from 1
	// again.
	incarnation int
	number      endive.EndNumber
	job         *job
}

// pendingWrite is a transaction that has no answer yet.
type pendingWrite struct {
	writeID endive.WriteID
	ends    []listedEnd
	jobs    []*job
	roster  map[endive.WorkerID]rosterRecord
	// states are the values of the jobs' rows.
	states   map[*job][]byte
	archived int
	deleted  int
	revoked  int
	status   *Status
}

// queueEnd schedules the end of a run to be recorded together with the row of the run's job.
func (m *Machine) queueEnd(w *worker, n endive.EndNumber, j *job) {
	w.unrecordedEnds[n] = true
	m.markDirty(j, rowUrgent)
	m.recorder.listedEnds = append(m.recorder.listedEnds, listedEnd{worker: w, incarnation: w.incarnations, number: n, job: j})
}

// writeDue sends the next transaction if one is due and none is in flight.
func (m *Machine) writeDue() {
	rec := &m.recorder
	rec.nextAt = time.Time{}
	if rec.inFlight != nil {
		return
	}
	due := m.writeDueAt()
	if due.IsZero() {
		return
	}
	due = endive.Latest(due, rec.retryAt)
	if due.After(m.now) {
		rec.nextAt = due
		return
	}
	if m.shouldCleanUp() {
		m.writeCleanup()
		return
	}
	m.writeRows()
}

// writeDueAt returns when the next transaction is due; zero for never.
func (m *Machine) writeDueAt() time.Time {
	var due time.Time
	earliest := endive.Latest(m.recorder.lastWriteAt.Add(minWriteInterval), m.now)
	if m.recorder.urgent || m.recorder.hasWritableEnds() || m.rosterIncomplete() {
		due = endive.Earliest(due, earliest)
	}
	if len(m.recorder.dirty) > 0 {
		due = endive.Earliest(due, endive.Latest(m.recorder.lastWriteAt.Add(lazyWriteDelay), m.now))
	}
	due = endive.Earliest(due, m.status.dueAt(m))
	return endive.Earliest(due, m.cleanupDueAt())
}

// fencedTransaction returns a transaction that is committed only if no other holder has written
// since this holder's last write.
func (m *Machine) fencedTransaction() endive.Transaction {
	next := m.recorder.fence
	next.Sequence++
	fenceKey := FenceKey(m.pool)
	return endive.Transaction{
		WriteID:    m.writeIDs.Next(),
		Conditions: []endive.Condition{{Key: fenceKey, Version: m.recorder.fenceVersion}},
		Writes:     []endive.Write{{Key: fenceKey, Value: encodeRow(next)}},
	}
}

// writeRows sends one transaction of rows that have changed.
func (m *Machine) writeRows() {
	rec := &m.recorder
	txn := m.fencedTransaction()
	sent := &pendingWrite{writeID: txn.WriteID, states: make(map[*job][]byte)}
	m.addJobRows(&txn, sent)
	sent.ends = rec.popWritableEnds()
	if (m.rosterIncomplete() || m.rosterHasTerminated()) && rec.batch.allows(sent) {
		sent.roster = m.newRoster()
		txn.Writes = append(txn.Writes, m.rosterWrites(sent.roster)...)
	}
	if due := m.status.dueAt(m); !due.IsZero() && !due.After(m.now) && rec.batch.allows(sent) {
		status := m.status.current
		sent.status = &status
		m.logUsage()
		m.reportAccounts()
		txn.Writes = append(txn.Writes, endive.Write{Key: StatusKey(m.pool), Value: status.fit()})
	}
	rec.inFlight = sent
	m.emit(Commit{Transaction: txn})
}

// addJobRows adds the rows of jobs that have changed to a transaction, urgent rows first.
func (m *Machine) addJobRows(txn *endive.Transaction, sent *pendingWrite) {
	rec := &m.recorder
	sort.Slice(rec.dirty, func(a, b int) bool {
		if rec.dirty[a].rowStatus != rec.dirty[b].rowStatus {
			return rec.dirty[a].rowStatus > rec.dirty[b].rowStatus
		}
		return rec.dirty[a].id < rec.dirty[b].id
	})
	limit, size := min(len(rec.dirty), rec.batch.maxJobs()), 0
	for len(sent.jobs) < limit && size < maxTransactionBytes {
		j := rec.dirty[len(sent.jobs)]
		value := j.encodeProgress()
		sent.jobs = append(sent.jobs, j)
		sent.states[j] = value
		size += len(value)
		txn.Writes = append(txn.Writes, endive.Write{Key: StateKey(m.pool, j.id), Value: value})
		j.rowStatus = rowCurrent
	}
	rec.dirty = append([]*job(nil), rec.dirty[len(sent.jobs):]...)
	rec.urgent = len(rec.dirty) > 0 && rec.dirty[0].rowStatus == rowUrgent
}

// popWritableEnds removes and returns the ends of runs that the transaction being built can
// record: those whose job's row is part of the transaction or hasn't changed since the last
// write.
func (rec *recorder) popWritableEnds() []listedEnd {
	var popped, remaining []listedEnd
	for _, end := range rec.listedEnds {
		if end.job.rowStatus == rowCurrent {
			popped = append(popped, end)
		} else {
			remaining = append(remaining, end)
		}
	}
	rec.listedEnds = remaining
	return popped
}

// hasWritableEnds reports whether there are ends to be recorded of jobs whose rows the store takes.
func (rec *recorder) hasWritableEnds() bool {
	return slices.ContainsFunc(rec.listedEnds, func(end listedEnd) bool { return end.job.rowStatus != rowAside })
}

// handleCommitted processes the result of a transaction.
func (m *Machine) handleCommitted(e endive.Committed) {
	rec := &m.recorder
	sent := rec.inFlight
	if sent == nil || sent.writeID != e.WriteID {
		return
	}
	rec.inFlight = nil
	if e.Status == endive.CommitApplied {
		rec.fence.Sequence++
		rec.fenceVersion = e.Result.Versions[0]
		rec.lastWriteAt = m.now
		rec.batch.grow()
		m.handleWritten(sent)
		return
	}
	m.handleNotWritten(sent)
	rec.retryAt = m.now.Add(writeRetryDelay)
	if e.Status == endive.CommitRejected {
		m.handleRejected(sent)
	}
	if sent.archived+sent.deleted+sent.revoked > 0 {
		rec.cleanupRetryAt = m.now.Add(cleanupRetryDelay)
	}
	m.logDecision(Decision{Kind: DecisionRecord, Outcome: string(e.Status), Reason: formatInt(int64(len(sent.ends))) + " ends not recorded yet"})
	if e.Status == endive.CommitConflict {
		m.handleConflict(e.Conflicts)
	}
}

// handleConflict distinguishes a write of this holder whose answer was lost from a write of
// another holder, which ends the tenure.
func (m *Machine) handleConflict(rows []endive.Row) {
	rec := &m.recorder
	for _, row := range rows {
		fence, err := decodeFence(row)
		if row.Key != FenceKey(m.pool) || err != nil {
			continue
		}
		if fence.Epoch != rec.fence.Epoch {
			m.handleFenced("the store")
			return
		}
		rec.fence, rec.fenceVersion = fence, row.Version
		rec.retryAt = m.now
	}
}

// handleWritten updates the machine's state after a transaction was committed: the contents of
// the transaction count as recorded, and jobs that have ended are removed.
func (m *Machine) handleWritten(sent *pendingWrite) {
	if sent.roster != nil {
		m.recorder.roster = sent.roster
		m.passDue = true
	}
	if sent.status != nil {
		m.status.markWritten(*sent.status, m.now)
	}
	m.applyCleanup(sent)
	for _, end := range sent.ends {
		if end.incarnation != end.worker.incarnations {
			continue
		}
		delete(end.worker.unrecordedEnds, end.number)
		if len(end.worker.unrecordedEnds) == 0 {
			end.worker.poll.nextAt = m.now
			m.markChanged(end.worker)
		}
	}
	for _, j := range sent.jobs {
		j.stateValue = sent.states[j]
		if j.rowStatus == rowCurrent {
			m.markRecorded(j)
		}
		m.removeIfEnded(j)
	}
}

// markRecorded marks the succeeded tasks of a job as recorded. It is called only if the job's
// row hasn't changed since the row was sent: later successes are recorded by the next write.
func (m *Machine) markRecorded(j *job) {
	for _, occ := range slices.Clone(j.active) {
		for _, s := range occ.steps {
			for _, t := range s.tasks {
				t.crashes.unrecorded = false
				if t.state == taskSucceeded {
					t.state = taskRecorded
					s.unrecorded--
				}
			}
		}
		m.countUnfinishedSteps(occ)
	}
	m.passDue = true
}

// handleNotWritten schedules the contents of a failed transaction to be written again.
func (m *Machine) handleNotWritten(sent *pendingWrite) {
	m.recorder.listedEnds = append(sent.ends, m.recorder.listedEnds...)
	if sent.roster != nil {
		m.intersectRoster(sent.roster)
	}
	for _, j := range sent.jobs {
		m.markDirty(j, rowUrgent)
	}
}

func decodeFence(row endive.Row) (Fence, error) {
	var fence Fence
	if row.Deleted {
		return fence, errors.New("the fence row is deleted")
	}
	return fence, decodeRow(row.Value, &fence)
}
