package ticket

import (
	"fmt"
	"time"

	"endiveroute.example/endive"
)

// register writes this entry's row, or takes it back in a planned stop.
func (m *Machine) register(now time.Time) []endive.Action {
	s := &m.registration
	if s.writeID != "" || now.Before(s.retryAt) {
		return nil
	}
	if s.stopping {
		return m.unregister(now)
	}
	if s.written || m.entries.Answered() == 0 {
		return nil
	}
	s.writeID = m.ids.Next()
	s.sentAt = now
	return []endive.Action{writeEntry(s.writeID, m.self, s.version, entryValue{Incarnation: m.incarnation})}
}

// unregister takes this entry's registration back, once no peer uses a state
// that it granted.
func (m *Machine) unregister(now time.Time) []endive.Action {
	s := &m.registration
	if s.unregistered || now.Before(m.grants.lastEnd()) {
		return nil
	}
	if s.version == 0 {
		s.unregistered = true
		return []endive.Action{Unregistered{}}
	}
	s.writeID = m.ids.Next()
	s.unregistering = true
	return []endive.Action{writeEntry(s.writeID, m.self, s.version, entryValue{Unregistered: true})}
}

// handleRegistrationCommitted takes the answer to the write of this entry's row.
func (m *Machine) handleRegistrationCommitted(now time.Time, e endive.Committed) []endive.Action {
	s := &m.registration
	if e.Status == endive.CommitUnknown {
		return nil
	}
	ending := s.unregistering
	s.writeID, s.unregistering = "", false
	if e.Status != endive.CommitApplied {
		s.retryAt = m.settings.PollInterval.After(now)
		_, actions := m.entries.Ask(now)
		return actions
	}
	s.version = e.Result.Versions[0]
	if ending {
		s.unregistered = true
		return []endive.Action{Unregistered{}}
	}
	s.written = true
	var actions []endive.Action
	s.minConfigScan, actions = m.config.Ask(now)
	return append(actions, m.decision("", "registered", fmt.Sprintf("row written at revision %d", e.Result.Revision)))
}

// removeGoneEntry takes back the registration of an entry that has been gone for long
// enough: it answers no callers any more, or would look first. The rows must
// have been read just now.
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
		m.decision(string(entry), "unregister", "gone since "+now.Sub(row.goneSince).String()),
		writeEntry(m.removalWrite, entry, row.version, entryValue{Incarnation: row.incarnation, Unregistered: true}),
	}
}

// handleRemovalCommitted takes the answer to a removal.
func (m *Machine) handleRemovalCommitted(now time.Time, e endive.Committed) []endive.Action {
	if e.Status == endive.CommitUnknown {
		return nil
	}
	m.removalWrite = ""

	_, actions := m.entries.Ask(now)
	return actions
}

// writeEntry returns the transaction that writes an entry's row, unless it
// changed meanwhile.
func writeEntry(id endive.WriteID, entry endive.EntryID, version endive.Version, value entryValue) endive.Commit {
	return endive.Commit{Transaction: endive.Transaction{
		WriteID:    id,
		Conditions: []endive.Condition{{Key: entryKey(entry), Version: version}},
		Writes:     []endive.Write{{Key: entryKey(entry), Value: value.encode()}},
	}}
}
