package place

import (
	"encoding/json"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/rows"
)

// recorder groups what has to be written into transactions, one at a time. Each
// has the lease's fence as a condition, so that no former holder writes after a
// takeover.
type recorder struct {
	dirtyJobs []*job
	// cancelsToDelete are cancellations whose job has ended, to be deleted.
	cancelsToDelete []endive.JobID
	// rosterDirty says that the list of workers has to be written.
	rosterDirty bool
	// usageDirty says that the teams' usageDirty has to be written.
	usageDirty bool
	flushAt    time.Time
	pending    *transaction
}

// transaction is what was asked to be written and isn't known yet.
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

// idle reports whether nothing is to be written.
func (r *recorder) idle() bool {
	return r.pending == nil && len(r.dirtyJobs) == 0 && len(r.cancelsToDelete) == 0 && !r.rosterDirty && !r.usageDirty
}

// nextFlushAt returns when the next transaction is due, or the zero time.
func (r *recorder) nextFlushAt() time.Time {
	if r.pending != nil || r.idle() {
		return time.Time{}
	}
	return r.flushAt
}

// recordJob notes that a job's progress or end has to be written.
func (m *Machine) recordJob(j *job) {
	if j.dirty {
		return
	}
	j.dirty = true
	m.recorder.dirtyJobs = append(m.recorder.dirtyJobs, j)
	m.scheduleFlush()
}

// recordRoster notes that the roster has to be written.
func (m *Machine) recordRoster() {
	m.recorder.rosterDirty = true
	m.scheduleFlush()
}

// deleteCancel notes that a cancellation has to be deleted, since its job has
// ended.
func (m *Machine) deleteCancel(id endive.JobID) {
	m.recorder.cancelsToDelete = append(m.recorder.cancelsToDelete, id)
	m.scheduleFlush()
}

func (m *Machine) scheduleFlush() {
	if m.recorder.flushAt.IsZero() {
		m.recorder.flushAt = m.now.Add(batchDelay)
	}
}

// mayWrite reports whether rows can be written: under a lease, and not before all
// of the former holder's rows have been read.
func (m *Machine) mayWrite() bool { return m.lease.Held && m.loader.loaded }

// flush writes what is due, in one transaction.
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

// addRoster writes the workers that may run tasks from now on.
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

// addJob writes a job's progress, or its end.
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

// put writes a value that always has a JSON form.
func (t *transaction) put(key string, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		return
	}
	t.writes = append(t.writes, endive.Write{Key: key, Value: body})
}

// handleCommitted goes on with what a transaction was waited for.
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

// requeueTransaction returns everything to be written later. Nothing was started.
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

// requeueForget gives a report back to its job.
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
