package flow

import (
	"time"

	"endiveroute.example/endive"
)

// A new holder reads all rows of the work that lives. The load: a pool whose holder ends
// beside thousands of workflows that were over long ago; reading their rows would take the
// time in which nothing starts. So the rows of a workflow that has ended make way within
// seconds: its submission is deleted, and its last state goes to a table that no holder
// loads, where it can be asked for until it is deleted as well. Both happen in
// transactions of their own, since they touch many parts of the store, of which one may
// fail, and nobody waits for them.

const (
	// clearAfter is how long after its end the rows of a workflow make way.
	clearAfter = time.Second
	// clearedRows is how many rows the making way of one workflow writes, deletedRows
	// how many its deletion does.
	clearedRows = 4
	deletedRows = 3
	// deleteRetry is the pause after one that failed.
	deleteRetry = 5 * time.Second
	// deleteOverdue is how long both give way to other news.
	deleteOverdue = 2 * time.Second
)

// endings are the workflows that have ended.
type endings struct {
	// uncleared are those whose submissions aren't deleted yet, kept those whose last
	// state can still be asked for, each in the order of their deadlines.
	uncleared, kept []endedJob
	known           map[endive.JobID]bool
}

// endedJob is a workflow whose rows make way, or are deleted, from a time on.
type endedJob struct {
	id    endive.JobID
	state endive.WorkflowState
	dueAt time.Time
}

// noteEnded notes that the end of a workflow is recorded.
func (m *Machine) noteEnded(id endive.JobID, state endive.WorkflowState) {
	m.endings.known[id] = true
	m.emit(PublishState{Job: id, State: state})
	m.endings.uncleared = append(m.endings.uncleared, endedJob{id: id, state: state, dueAt: m.now.Add(clearAfter)})
}

// keepEnded keeps the last state of a workflow for as long as it can be asked for.
func (m *Machine) keepEnded(id endive.JobID) {
	m.endings.known[id] = true
	m.endings.kept = append(m.endings.kept, endedJob{id: id, dueAt: m.now.Add(time.Duration(m.settings.Retention))})
}

// endedFound takes in the workflows that had ended before the tenure.
func (m *Machine) endedFound(e EndedJobsLoaded) {
	if e.Epoch != m.tenure.epoch {
		return
	}
	for _, id := range e.Jobs {
		if !m.endings.known[id] {
			m.keepEnded(id)
		}
	}
}

// deletionsDue returns when rows have to make way or be deleted; zero for never.
func (m *Machine) deletionsDue() time.Time {
	var due time.Time
	for _, list := range [][]endedJob{m.endings.uncleared, m.endings.kept} {
		if len(list) > 0 {
			due = endive.Earliest(due, list[0].dueAt)
		}
	}
	if due.IsZero() {
		return due
	}
	return endive.Latest(due, m.recorder.deleteAt)
}

// deletesNow reports whether the next transaction is one of these: when nobody waits for
// another, or when they are overdue.
func (m *Machine) deletesNow() bool {
	due := m.deletionsDue()
	if due.IsZero() || due.After(m.now) {
		return false
	}
	idle := !m.recorder.urgent && len(m.recorder.ends) == 0 && !m.rosterGrows()
	return idle || m.now.Sub(due) > deleteOverdue
}

// writeDeletions sends one transaction in which rows make way or are deleted.
func (m *Machine) writeDeletions() {
	txn := m.fencedTransaction()
	sent := &recording{writeID: txn.WriteID}
	for _, one := range m.endings.uncleared {
		if one.dueAt.After(m.now) || len(txn.Writes)+clearedRows > rowsPerRecord {
			break
		}
		sent.cleared++
		txn.Writes = append(txn.Writes,
			endive.Write{Key: JobKey(m.pool, one.id), Delete: true},
			endive.Write{Key: CancelKey(m.pool, one.id), Delete: true},
			endive.Write{Key: StateKey(m.pool, one.id), Delete: true},
			endive.Write{Key: EndedKey(m.pool, one.id), Value: encode(Progress{State: one.state})},
		)
	}
	for _, one := range m.endings.kept {
		if one.dueAt.After(m.now) || len(txn.Writes)+deletedRows > rowsPerRecord {
			break
		}
		sent.deleted++
		txn.Writes = append(txn.Writes,
			endive.Write{Key: EndedKey(m.pool, one.id), Delete: true},
			endive.Write{Key: KnownKey(m.pool, one.id), Delete: true},
			endive.Write{Key: CancelKey(m.pool, one.id), Delete: true},
		)
	}
	m.recorder.inFlight = sent
	m.emit(Commit{Transaction: txn})
}

// deletionsDone takes in that such a transaction was carried out.
func (m *Machine) deletionsDone(sent *recording) {
	for _, one := range m.endings.uncleared[:sent.cleared] {
		m.keepEnded(one.id)
	}
	m.endings.uncleared = m.endings.uncleared[sent.cleared:]
	for _, one := range m.endings.kept[:sent.deleted] {
		delete(m.endings.known, one.id)
		m.emit(PublishState{Job: one.id})
	}
	m.endings.kept = m.endings.kept[sent.deleted:]
}
