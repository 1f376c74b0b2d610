package ticket

import (
	"fmt"
	"time"

	"endiveroute.example/endive"
)

// register writes this entry's row, or revokes the registration in a planned stop.
func (m *Machine) register(now time.Time) []endive.Action {
	r := &m.registration
	if r.writeID != "" || now.Before(r.retryAt) {
		return nil
	}
	if r.stopping {
		return m.unregister(now)
	}
	if r.written || m.entries.LastSucceeded() == 0 {
		return nil
	}
	r.writeID = m.ids.Next()
	r.sentAt = now
	return []endive.Action{writeEntry(r.writeID, m.self, r.version, entryValue{Incarnation: m.incarnation})}
}

// unregister revokes this entry's registration once all grants that it issued have
// ended.
func (m *Machine) unregister(now time.Time) []endive.Action {
	r := &m.registration
	if r.unregistered || now.Before(m.grants.lastEnd()) {
		return nil
	}
	if r.version == 0 {
		r.unregistered = true
		return []endive.Action{Unregistered{}}
	}
	r.writeID = m.ids.Next()
	r.unregistering = true
	return []endive.Action{writeEntry(r.writeID, m.self, r.version, entryValue{Unregistered: true})}
}

// handleRegistrationCommitted handles the result of writing this entry's row.
func (m *Machine) handleRegistrationCommitted(now time.Time, e endive.Committed) []endive.Action {
	r := &m.registration
	if e.Status == endive.CommitUnknown {
		return nil
	}
	ending := r.unregistering
	r.writeID, r.unregistering = "", false
	if e.Status != endive.CommitApplied {
		r.retryAt = m.settings.PollInterval.After(now)
		_, actions := m.entries.Request(now)
		return actions
	}
	r.version = e.Result.Versions[0]
	if ending {
		r.unregistered = true
		return []endive.Action{Unregistered{}}
	}
	r.written = true
	var actions []endive.Action
	r.minConfigScan, actions = m.config.Request(now)
	return append(actions, m.decision("", "registered", fmt.Sprintf("entry row written at revision %d", e.Result.Revision)))
}

// removeGoneEntry revokes the registration of an entry that has been gone for long
// enough. Such an entry has lost contact for so long that it no longer serves clients.
// The entries' rows must have been read within the last poll interval.
func (m *Machine) removeGoneEntry(now time.Time) []endive.Action {
	if m.removalWrite != "" || !m.registration.registered || !m.entries.Fresh(now, m.settings.PollInterval) {
		return nil
	}
	entry, ok := m.registry.removable(now, m.settings.RemovalDelay, m.settings.UnlistedRemovalDelay)
	if !ok {
		return nil
	}
	m.removalWrite = m.ids.Next()
	row := m.registry.rows[entry]
	return []endive.Action{
		m.decision(string(entry), "unregister", "gone for "+now.Sub(row.goneSince).String()),
		writeEntry(m.removalWrite, entry, row.version, entryValue{Incarnation: row.incarnation, Unregistered: true}),
	}
}

// handleRemovalCommitted handles the result of revoking another entry's registration.
func (m *Machine) handleRemovalCommitted(now time.Time, e endive.Committed) []endive.Action {
	if e.Status == endive.CommitUnknown {
		return nil
	}
	m.removalWrite = ""

	_, actions := m.entries.Request(now)
	return actions
}

// writeEntry returns the transaction that writes an entry's row if its version is
// still the given one.
func writeEntry(id endive.WriteID, entry endive.EntryID, version endive.Version, value entryValue) endive.Commit {
	return endive.Commit{Transaction: endive.Transaction{
		WriteID:    id,
		Conditions: []endive.Condition{{Key: entryKey(entry), Version: version}},
		Writes:     []endive.Write{{Key: entryKey(entry), Value: value.encode()}},
	}}
}
