package place

import (
	"encoding/json"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/rows"
)

// recorder groups changed rows into transactions and commits one at a time.
// Each transaction has the lease's fence as a condition, so that a previous
// holder can't write after a takeover.
type recorder struct {
	dirtyJobs []*job
	// cancelsToDelete are cancellations of jobs that have ended.
	cancelsToDelete []endive.JobID
	// rosterDirty is set while the roster has to be written: the list of workers
	// that may run tasks.
	rosterDirty bool
	// usageDirty is set while the teams' usage has to be written.
	usageDirty bool
	flushAt    time.Time
	pending    *transaction
}

// transaction is a commit in flight, with the work that depends on its result.
type transaction struct {
	id      endive.WriteID
	writes  []endive.Write
	jobs    []*job
	ended   []*job
	starts  []*attempt
	forgets []forget
	cancels []endive.JobID
	workers []endive.WorkerID
	roster  bool
	usage   bool
}

// idle reports whether there is nothing to write and no commit in flight.
func (r *recorder) idle() bool {
	return r.pending == nil && len(r.dirtyJobs) == 0 && len(r.cancelsToDelete) == 0 && !r.rosterDirty && !r.usageDirty
}

// nextFlushAt returns when the next transaction is due. It returns the zero
// time while a commit is in flight or there is nothing to write.
func (r *recorder) nextFlushAt() time.Time {
	if r.pending != nil || r.idle() {
		return time.Time{}
	}
	return r.flushAt
}

// recordJob schedules the writing of a job's progress or final state.
func (m *Machine) recordJob(j *job) {
	if j.dirty {
		return
	}
	j.dirty = true
	m.recorder.dirtyJobs = append(m.recorder.dirtyJobs, j)
	m.scheduleFlush()
}

// recordRoster schedules the writing of the roster.
func (m *Machine) recordRoster() {
	m.recorder.rosterDirty = true
	m.scheduleFlush()
}

// deleteCancel schedules the deletion of a cancellation whose job has ended.
func (m *Machine) deleteCancel(id endive.JobID) {
	m.recorder.cancelsToDelete = append(m.recorder.cancelsToDelete, id)
	m.scheduleFlush()
}

func (m *Machine) scheduleFlush() {
	if m.recorder.flushAt.IsZero() {
		m.recorder.flushAt = m.now.Add(batchDelay)
	}
}

// mayWrite reports whether the holder may write rows: it holds the lease and
// has read all rows of the previous holder.
func (m *Machine) mayWrite() bool { return m.lease.Held && m.loader.loaded }

// flush commits the due rows in one transaction.
func (m *Machine) flush() {
	r := &m.recorder
	if r.pending != nil || r.idle() || m.now.Before(r.flushAt) || !m.mayWrite() {
		return
	}
	txn := &transaction{id: m.writeIDs.Next()}
	if r.rosterDirty {
		m.addRoster(txn)
	}
	if r.usageDirty {
		m.addUsage(txn)
	}
	for len(r.cancelsToDelete) > 0 && len(txn.writes) < maxRowsPerTransaction {
		txn.cancels = append(txn.cancels, r.cancelsToDelete[0])
		txn.writes = append(txn.writes, endive.Write{Key: rows.CancelKey(m.slice.ID, r.cancelsToDelete[0]), Delete: true})
		r.cancelsToDelete = r.cancelsToDelete[1:]
	}
	n := 0
	for n < len(r.dirtyJobs) && len(txn.writes) < maxRowsPerTransaction {
		m.addJob(txn, r.dirtyJobs[n])
		n++
	}
	r.dirtyJobs = append([]*job(nil), r.dirtyJobs[n:]...)
	r.pending, r.flushAt = txn, m.now
	m.emit(endive.Commit{Transaction: endive.Transaction{
		WriteID: txn.id, Conditions: []endive.Condition{m.lease.Fence}, Writes: txn.writes,
	}})
}

// addRoster adds the roster to the transaction. The roster lists every worker
// that may run tasks from now on.
func (m *Machine) addRoster(txn *transaction) {
	m.recorder.rosterDirty = false
	txn.roster = true
	for _, w := range m.workers.list {
		if w.responsive || w.inRoster && w.state != endive.MemberGone || w.inPreviousRoster && !m.takeover.done || len(w.attempts) > 0 {
			txn.workers = append(txn.workers, w.id)
		}
	}
	txn.put(rows.RosterKey(m.slice.ID), rows.Roster{Workers: txn.workers})
}

// addJob adds a job's progress to the transaction, or its final state and the
// deletion of its other rows.
func (m *Machine) addJob(txn *transaction, j *job) {
	j.dirty = false
	txn.jobs = append(txn.jobs, j)
	txn.forgets = append(txn.forgets, j.forgets...)
	txn.starts = append(txn.starts, j.startsToRecord...)
	j.forgets, j.startsToRecord = nil, nil
	if !j.ended {
		txn.put(rows.ProgressKey(m.slice.ID, j.ID), j.progress())
		j.progressStored = true
		return
	}
	txn.ended = append(txn.ended, j)
	txn.drop(rows.JobKey(m.slice.ID, j.ID))
	if j.progressStored {
		txn.drop(rows.ProgressKey(m.slice.ID, j.ID))
	}
	if j.cancelled {
		txn.drop(rows.CancelKey(m.slice.ID, j.ID))
	}
	txn.put(rows.EndedKey(j.ID), j.status(m.slice.ID))
}

func (t *transaction) drop(key string) {
	t.writes = append(t.writes, endive.Write{Key: key, Delete: true})
}

// put adds the write of a value, which must be encodable as JSON.
func (t *transaction) put(key string, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		return
	}
	t.writes = append(t.writes, endive.Write{Key: key, Value: body})
}

// handleCommitted handles the result of the transaction in flight.
func (m *Machine) handleCommitted(e endive.Committed) {
	txn := m.recorder.pending
	if txn == nil || txn.id != e.WriteID || e.Status == endive.CommitUnknown {
		return
	}
	m.recorder.pending = nil
	if e.Status == endive.CommitApplied {
		m.handleApplied(txn)
		return
	}
	m.requeueTransaction(txn)
}

func (m *Machine) handleApplied(txn *transaction) {
	for _, id := range txn.workers {
		if w := m.workers.byID[id]; w != nil && !w.inRoster {
			w.inRoster = true
			m.capacityFreed(w)
		}
	}
	for _, f := range txn.forgets {
		if w := m.workers.byID[f.worker]; w != nil {
			w.forgets = append(w.forgets, f.attempt)
			m.workers.markCommandDue(w)
		}
	}
	for _, a := range txn.starts {
		if a.worker.byID[a.id] == a && a.state == attemptRecording {
			m.queueStart(a)
		}
	}
	for _, j := range txn.ended {
		delete(m.jobs, j.ID)
	}
}

// requeueTransaction schedules another write of the rows of a transaction that
// was not applied, and withdraws the starts that depended on the transaction.
func (m *Machine) requeueTransaction(txn *transaction) {
	r := &m.recorder
	r.flushAt = m.now.Add(commitRetryDelay)
	r.rosterDirty, r.usageDirty = r.rosterDirty || txn.roster, r.usageDirty || txn.usage
	r.cancelsToDelete = append(txn.cancels, r.cancelsToDelete...)
	for _, f := range txn.forgets {
		m.requeueForget(txn, f)
	}
	for _, j := range txn.jobs {
		m.recordJob(j)
	}
	for _, a := range txn.starts {
		if a.worker.byID[a.id] == a && a.state == attemptRecording {
			m.undoPlacement(a)
		}
	}
}

// requeueForget adds a forget to its job again, for the transaction that writes
// the job next.
func (m *Machine) requeueForget(txn *transaction, f forget) {
	task := endive.TaskID(f.attempt[:taskIDLength(f.attempt)])
	id, _ := parseTask(task)
	for _, j := range txn.jobs {
		if j.ID == id {
			j.forgets = append(j.forgets, f)
			return
		}
	}
}
