package flow

import (
	"time"

	"endiveroute.example/endive"
)

// A new holder reads all rows of the live workflows before it starts any task. If a holder
// stops after thousands of workflows have ended, reading the rows of these workflows as well
// would delay the new holder's first starts. So each ended workflow is archived within
// seconds: its submission is deleted, and its last state moves to a table that holders don't
// load, where clients can read it until it is deleted too. Archival and deletion have
// transactions of their own: they touch many partitions of the store, any of which may fail,
// and no client waits for them.

const (
	// archiveDelay is the time from a workflow's recorded end to its archival.
	archiveDelay = time.Second
	// rowsPerArchival is how many rows the archival of one workflow writes. rowsPerDeletion
	// is how many rows the deletion of an archived workflow's last state writes.
	rowsPerArchival = 4
	rowsPerDeletion = 4
	// rowsPerRevocation is how many rows the deletion of a cancellation writes whose workflow was never
	// stored.
	rowsPerRevocation = 2
	// cleanupRetryDelay is the pause after a failed archival or deletion.
	cleanupRetryDelay = 5 * time.Second
	// cleanupOverdue is how long other writes take precedence over an archival or deletion
	// that is due.
	cleanupOverdue = 2 * time.Second
)

// endedJobs holds the workflows that have ended and whose rows aren't all deleted yet.
type endedJobs struct {
	// toArchive are the workflows whose submissions aren't deleted yet. archived are the
	// workflows whose last state can still be read. Both are in the order of dueAt.
	toArchive, archived []endedJob
	// revoked are the workflows that were cancelled and haven't been stored, in the order of dueAt.
	revoked  []endedJob
	knownIDs map[endive.JobID]bool
}

// endedJob is a workflow that is to be archived or deleted at dueAt.
type endedJob struct {
	id      endive.JobID
	account endive.AccountName
	state   endive.WorkflowState
	dueAt   time.Time
}

// lastProgress returns the last progress row of the workflow.
func (e endedJob) lastProgress() Progress { return Progress{State: e.state, Account: e.account} }

// addEndedJob schedules the archival of a workflow whose end is recorded.
func (m *Machine) addEndedJob(id endive.JobID, last Progress) {
	m.endedJobs.knownIDs[id] = true
	m.emit(PublishState{Job: id, Account: last.Account, State: last.State})
	m.endedJobs.toArchive = append(m.endedJobs.toArchive, endedJob{id: id, account: last.Account, state: last.State, dueAt: m.now.Add(archiveDelay)})
}

// addArchivedJob schedules the deletion of a workflow's last state after the retention period.
func (m *Machine) addArchivedJob(id endive.JobID) {
	m.endedJobs.knownIDs[id] = true
	m.endedJobs.archived = append(m.endedJobs.archived, endedJob{id: id, dueAt: m.now.Add(time.Duration(m.settings.Retention))})
}

// handleEndedJobs adds the workflows that were archived before the tenure.
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

// cleanupDueAt returns when the next archival or deletion is due; zero for never.
func (m *Machine) cleanupDueAt() time.Time {
	var due time.Time
	for _, list := range [][]endedJob{m.endedJobs.toArchive, m.endedJobs.archived, m.endedJobs.revoked} {
		if len(list) > 0 {
			due = endive.Earliest(due, list[0].dueAt)
		}
	}
	if due.IsZero() {
		return due
	}
	return endive.Latest(due, m.recorder.cleanupRetryAt)
}

// shouldCleanUp reports whether the next transaction archives or deletes workflows: no
// urgent write is pending, or the cleanup is overdue.
func (m *Machine) shouldCleanUp() bool {
	due := m.cleanupDueAt()
	if due.IsZero() || due.After(m.now) {
		return false
	}
	idle := !m.recorder.urgent && !m.recorder.hasWritableEnds() && !m.rosterIncomplete()
	return idle || m.now.Sub(due) > cleanupOverdue
}

// writeCleanup sends one transaction that archives and deletes workflows.
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
			endive.Write{Key: EndedKey(m.pool, ended.id), Value: encodeRow(ended.lastProgress())},
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
			endive.Write{Key: IDKey(ended.id), Delete: true},
			endive.Write{Key: CancelKey(m.pool, ended.id), Delete: true},
		)
	}
	m.addRevocations(&txn, sent)
	m.recorder.inFlight = sent
	m.emit(Commit{Transaction: txn})
}

// addRevocations adds the deletion of cancellations whose workflow was never stored. The rows of a
// workflow that has been stored after all are deleted with it.
func (m *Machine) addRevocations(txn *endive.Transaction, sent *pendingWrite) {
	for _, revoked := range m.endedJobs.revoked {
		if revoked.dueAt.After(m.now) || len(txn.Writes)+rowsPerRevocation > maxRowsPerWrite {
			return
		}
		sent.revoked++
		if m.jobs[revoked.id] != nil || m.endedJobs.knownIDs[revoked.id] {
			continue
		}
		txn.Writes = append(txn.Writes,
			endive.Write{Key: IDKey(revoked.id), Delete: true},
			endive.Write{Key: CancelKey(m.pool, revoked.id), Delete: true},
		)
	}
}

// applyCleanup updates endedJobs after a cleanup transaction was committed.
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
	for _, revoked := range m.endedJobs.revoked[:sent.revoked] {
		delete(m.earlyCancels, revoked.id)
	}
	m.endedJobs.revoked = m.endedJobs.revoked[sent.revoked:]
}
