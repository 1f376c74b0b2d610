package flow

import (
	"time"

	"endiveroute.example/endive"
)

// The rows of workflows that ended long ago are deleted in transactions of their own:
// they are in many parts of the store, of which one may fail, and nobody waits for it.

const (
	// rowsPerJob is how many rows a workflow has at the most.
	rowsPerJob = 3
	// deleteRetry is the pause after deletions that failed.
	deleteRetry = 5 * time.Second
	// deleteOverdue is how long deletions give way to other news.
	deleteOverdue = 10 * time.Second
)

// deletionsDue returns when rows have to be deleted; zero for never.
func (m *Machine) deletionsDue() time.Time {
	if len(m.ended) == 0 {
		return time.Time{}
	}
	return endive.Latest(m.ended[0].deleteAt, m.recorder.deleteAt)
}

// deletesNow reports whether the next transaction deletes: when nobody waits for
// another, or when deletions are overdue.
func (m *Machine) deletesNow() bool {
	due := m.deletionsDue()
	if due.IsZero() || due.After(m.now) {
		return false
	}
	idle := !m.recorder.urgent && len(m.recorder.ends) == 0 && !m.rosterGrows()
	return idle || m.now.Sub(due) > deleteOverdue
}

// writeDeletions sends one transaction that deletes rows.
func (m *Machine) writeDeletions() {
	txn := m.fencedTransaction()
	sent := &recording{writeID: txn.WriteID}
	for _, one := range m.ended {
		if one.deleteAt.After(m.now) || len(txn.Writes)+rowsPerJob > rowsPerRecord {
			break
		}
		sent.deleted++
		txn.Writes = append(txn.Writes,
			endive.Write{Key: StateKey(m.pool, one.id), Delete: true},
			endive.Write{Key: JobKey(m.pool, one.id), Delete: true},
			endive.Write{Key: CancelKey(m.pool, one.id), Delete: true},
		)
	}
	m.recorder.inFlight = sent
	m.emit(Record{Transaction: txn})
}
