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
	// archiveDelay is how long after its end the rows of a workflow make way.
	archiveDelay = time.Second
	// rowsPerArchival is how many rows the making way of one workflow writes, rowsPerDeletion
	// how many its deletion does.
	rowsPerArchival = 4
	rowsPerDeletion = 3
	// cleanupRetryDelay is the pause after one that failed.
	cleanupRetryDelay = 5 * time.Second
	// cleanupOverdue is how long both give way to other news.
	cleanupOverdue = 2 * time.Second
)

// endedJobs are the workflows that have ended.
type endedJobs struct {
	// toArchive are those whose submissions aren't deleted yet, archived those whose last
	// state can still be asked for, each in the order of their deadlines.
	toArchive, archived []endedJob
	knownIDs            map[endive.JobID]bool
}

// endedJob is a workflow whose rows make way, or are deleted, from a time on.
type endedJob struct {
	id    endive.JobID
	state endive.WorkflowState
	dueAt time.Time
}

// addEndedJob notes that the end of a workflow is recorded.
func (m *Machine) addEndedJob(id endive.JobID, state endive.WorkflowState) {
	m.endedJobs.knownIDs[id] = true
	m.emit(PublishState{Job: id, State: state})
	m.endedJobs.toArchive = append(m.endedJobs.toArchive, endedJob{id: id, state: state, dueAt: m.now.Add(archiveDelay)})
}

// addArchivedJob keeps the last state of a workflow for as long as it can be asked for.
func (m *Machine) addArchivedJob(id endive.JobID) {
	m.endedJobs.knownIDs[id] = true
	m.endedJobs.archived = append(m.endedJobs.archived, endedJob{id: id, dueAt: m.now.Add(time.Duration(m.settings.Retention))})
}

// handleEndedJobs takes in the workflows that had ended before the tenure.
func (m *Machine) handleEndedJobs(e EndedJobsLoaded) {
	if e.Epoch != m.tenure.epoch {
		return
	}
	for _, id := range e.Jobs {
		if !m.endedJobs.knownIDs[id] {
			m.addArchivedJob(id)
		}
	}
}

// cleanupDueAt returns when rows have to make way or be deleted; zero for never.
func (m *Machine) cleanupDueAt() time.Time {
	var due time.Time
	for _, list := range [][]endedJob{m.endedJobs.toArchive, m.endedJobs.archived} {
		if len(list) > 0 {
			due = endive.Earliest(due, list[0].dueAt)
		}
	}
	if due.IsZero() {
		return due
	}
	return endive.Latest(due, m.recorder.cleanupRetryAt)
}

// shouldCleanUp reports whether the next transaction is one of these: when nobody waits for
// another, or when they are overdue.
func (m *Machine) shouldCleanUp() bool {
	due := m.cleanupDueAt()
	if due.IsZero() || due.After(m.now) {
		return false
	}
	idle := !m.recorder.urgent && len(m.recorder.listedEnds) == 0 && !m.rosterIncomplete()
	return idle || m.now.Sub(due) > cleanupOverdue
}

// writeCleanup sends one transaction in which rows make way or are deleted.
func (m *Machine) writeCleanup() {
	txn := m.fencedTransaction()
	sent := &pendingWrite{writeID: txn.WriteID}
	for _, ended := range m.endedJobs.toArchive {
		if ended.dueAt.After(m.now) || len(txn.Writes)+rowsPerArchival > maxRowsPerWrite {
			break
		}
		sent.archived++
		txn.Writes = append(txn.Writes,
			endive.Write{Key: JobKey(m.pool, ended.id), Delete: true},
			endive.Write{Key: CancelKey(m.pool, ended.id), Delete: true},
			endive.Write{Key: StateKey(m.pool, ended.id), Delete: true},
			endive.Write{Key: EndedKey(m.pool, ended.id), Value: encodeRow(Progress{State: ended.state})},
		)
	}
	for _, ended := range m.endedJobs.archived {
		if ended.dueAt.After(m.now) || len(txn.Writes)+rowsPerDeletion > maxRowsPerWrite {
			break
		}
		sent.deleted++
		txn.Writes = append(txn.Writes,
			endive.Write{Key: EndedKey(m.pool, ended.id), Delete: true},
			endive.Write{Key: AcceptedKey(m.pool, ended.id), Delete: true},
			endive.Write{Key: CancelKey(m.pool, ended.id), Delete: true},
		)
	}
	m.recorder.inFlight = sent
	m.emit(Commit{Transaction: txn})
}

// applyCleanup takes in that such a transaction was carried out.
func (m *Machine) applyCleanup(sent *pendingWrite) {
	for _, ended := range m.endedJobs.toArchive[:sent.archived] {
		m.addArchivedJob(ended.id)
	}
	m.endedJobs.toArchive = m.endedJobs.toArchive[sent.archived:]
	for _, ended := range m.endedJobs.archived[:sent.deleted] {
		delete(m.endedJobs.knownIDs, ended.id)
		m.emit(PublishState{Job: ended.id})
	}
	m.endedJobs.archived = m.endedJobs.archived[sent.deleted:]
}
