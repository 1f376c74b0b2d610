package flow

import (
	"errors"
	"sort"
	"time"

	"endiveroute.example/endive"
)

// recorder writes what the holder knows to the store, one transaction at a time.
type recorder struct {
	fence        Fence
	fenceVersion endive.Version
	// roster are the recorded workers that may run something.
	roster map[endive.WorkerID]rosterMark

	// dirty are the jobs whose rows have to be written; urgent says that somebody
	// waits for one of them.
	dirty  []*job
	urgent bool
	// rosterStale says that the workers may have changed since the roster was
	// written.
	rosterStale bool

	ends     []listedEnd
	inFlight *recording
	// nextAt is when the next write is due; zero for never.
	nextAt time.Time
	// retryAt delays the next write after one that failed.
	retryAt time.Time
	wroteAt time.Time
	// deleteAt delays deletions after some that failed.
	deleteAt time.Time
}

// listedEnd is an end that waits to be recorded.
type listedEnd struct {
	worker *worker
	// life is the worker's incarnation, whose ends are numbered anew.
	life   int
	number endive.EndNumber
	job    *job
}

// recording is a transaction on its way.
type recording struct {
	writeID endive.WriteID
	ends    []listedEnd
	jobs    []*job
	roster  map[endive.WorkerID]rosterMark
	// states are the values of the jobs' rows.
	states  map[*job][]byte
	cleared int
	deleted int
	status  *Status
}

// recordEnd has an end recorded together with the row of its job.
func (m *Machine) recordEnd(w *worker, n endive.EndNumber, j *job) {
	w.open[n] = true
	m.touch(j, rowUrgent)
	m.recorder.ends = append(m.recorder.ends, listedEnd{worker: w, life: w.life, number: n, job: j})
}

// record writes what is due.
func (m *Machine) record() {
	rec := &m.recorder
	rec.nextAt = time.Time{}
	if rec.inFlight != nil {
		return
	}
	due := m.recordDue()
	if due.IsZero() {
		return
	}
	due = endive.Latest(due, rec.retryAt)
	if due.After(m.now) {
		rec.nextAt = due
		return
	}
	if m.deletesNow() {
		m.writeDeletions()
		return
	}
	m.writeRows()
}

// recordDue returns when something has to be written; zero for never.
func (m *Machine) recordDue() time.Time {
	var due time.Time
	soon := endive.Latest(m.recorder.wroteAt.Add(recordPause), m.now)
	if m.recorder.urgent || len(m.recorder.ends) > 0 || m.rosterGrows() {
		due = endive.Earliest(due, soon)
	}
	if len(m.recorder.dirty) > 0 {
		due = endive.Earliest(due, endive.Latest(m.recorder.wroteAt.Add(lazyRecord), m.now))
	}
	due = endive.Earliest(due, m.status.due(m))
	return endive.Earliest(due, m.deletionsDue())
}

// fencedTransaction returns one that is carried out only while no other holder has
// written.
func (m *Machine) fencedTransaction() endive.Transaction {
	next := m.recorder.fence
	next.Sequence++
	fenceKey := FenceKey(m.pool)
	return endive.Transaction{
		WriteID:    m.writeIDs.Next(),
		Conditions: []endive.Condition{{Key: fenceKey, Version: m.recorder.fenceVersion}},
		Writes:     []endive.Write{{Key: fenceKey, Value: encode(next)}},
	}
}

// writeRows sends one transaction of rows that have changed.
func (m *Machine) writeRows() {
	rec := &m.recorder
	txn := m.fencedTransaction()
	sent := &recording{writeID: txn.WriteID, states: make(map[*job][]byte)}
	for _, j := range m.dirtyJobs() {
		sent.jobs = append(sent.jobs, j)
		sent.states[j] = encode(j.progress())
		txn.Writes = append(txn.Writes, endive.Write{Key: StateKey(m.pool, j.id), Value: sent.states[j]})
		j.row = rowCurrent
	}
	sent.ends = rec.takeEnds()
	if m.rosterGrows() || m.rosterShrinks() {
		sent.roster = m.newRoster()
		txn.Writes = append(txn.Writes, m.rosterWrites(sent.roster)...)
	}
	if due := m.status.due(m); !due.IsZero() && !due.After(m.now) {
		status := m.status.current
		sent.status = &status
		m.noteUse()
		txn.Writes = append(txn.Writes, endive.Write{Key: StatusKey(m.pool), Value: encode(status)})
	}
	rec.inFlight = sent
	m.emit(Commit{Transaction: txn})
}

// dirtyJobs takes the jobs whose rows go into the next transaction, those first
// that somebody waits for.
func (m *Machine) dirtyJobs() []*job {
	rec := &m.recorder
	sort.Slice(rec.dirty, func(a, b int) bool {
		if rec.dirty[a].row != rec.dirty[b].row {
			return rec.dirty[a].row > rec.dirty[b].row
		}
		return rec.dirty[a].id < rec.dirty[b].id
	})
	count := min(len(rec.dirty), rowsPerRecord)
	taken := append([]*job(nil), rec.dirty[:count]...)
	rec.dirty = append([]*job(nil), rec.dirty[count:]...)
	rec.urgent = len(rec.dirty) > 0 && rec.dirty[0].row == rowUrgent
	return taken
}

// takeEnds returns the ends whose jobs' rows are current now.
func (rec *recorder) takeEnds() []listedEnd {
	var taken, kept []listedEnd
	for _, end := range rec.ends {
		if end.job.row == rowCurrent {
			taken = append(taken, end)
		} else {
			kept = append(kept, end)
		}
	}
	rec.ends = kept
	return taken
}

// committed takes in what became of a transaction.
func (m *Machine) committed(e endive.Committed) {
	rec := &m.recorder
	sent := rec.inFlight
	if sent == nil || sent.writeID != e.WriteID {
		return
	}
	rec.inFlight = nil
	if e.Status == endive.CommitApplied {
		rec.fence.Sequence++
		rec.fenceVersion = e.Result.Versions[0]
		rec.wroteAt = m.now
		m.recorded(sent)
		return
	}
	m.notRecorded(sent)
	rec.retryAt = m.now.Add(recordRetry)
	if sent.cleared+sent.deleted > 0 {
		rec.deleteAt = m.now.Add(deleteRetry)
	}
	m.note(Decision{Kind: DecisionRecord, Outcome: string(e.Status), Reason: number(int64(len(sent.ends))) + " ends wait"})
	if e.Status == endive.CommitConflict {
		m.conflict(e.Conflicts)
	}
}

// conflict decides between a write of our own whose answer was lost, and another
// holder.
func (m *Machine) conflict(rows []endive.Row) {
	rec := &m.recorder
	for _, row := range rows {
		fence, err := decodeFence(row)
		if row.Key != FenceKey(m.pool) || err != nil {
			continue
		}
		if fence.Epoch != rec.fence.Epoch {
			m.fenced("the store")
			return
		}
		rec.fence, rec.fenceVersion = fence, row.Version
		rec.retryAt = m.now
	}
}

// recorded draws what follows from rows that were written.
func (m *Machine) recorded(sent *recording) {
	if sent.roster != nil {
		m.recorder.roster = sent.roster
		m.passDue = true
	}
	if sent.status != nil {
		m.status.wrote(*sent.status, m.now)
	}
	m.deletionsDone(sent)
	for _, end := range sent.ends {
		if end.life != end.worker.life {
			continue
		}
		delete(end.worker.open, end.number)
		if len(end.worker.open) == 0 {
			end.worker.hold.again = m.now
			m.touchWorker(end.worker)
		}
	}
	for _, j := range sent.jobs {
		j.recorded = sent.states[j]
		if j.row == rowCurrent {
			m.closeTasks(j)
		}
		m.release(j)
	}
}

// closeTasks counts the tasks whose success is recorded, which may let the next
// steps begin. Successes that came while the row was written wait for its next
// writing.
func (m *Machine) closeTasks(j *job) {
	for _, occ := range j.occs {
		if occ.left == 0 {
			continue
		}
		for _, s := range occ.steps {
			for _, t := range s.tasks {
				if t.state == taskSucceeded {
					t.state = taskRecorded
					s.left--
				}
			}
		}
		m.closeSteps(occ)
	}
	m.passDue = true
}

// notRecorded puts back what wasn't written.
func (m *Machine) notRecorded(sent *recording) {
	m.recorder.ends = append(sent.ends, m.recorder.ends...)
	if sent.roster != nil {
		m.doubtRoster(sent.roster)
	}
	for _, j := range sent.jobs {
		m.touch(j, rowUrgent)
	}
}

func decodeFence(row endive.Row) (Fence, error) {
	var fence Fence
	if row.Deleted {
		return fence, errors.New("the fence row is deleted")
	}
	return fence, decode(row.Value, &fence)
}
