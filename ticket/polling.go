package ticket

import (
	"time"

	"endiveroute.example/endive"
)

const (
	// entriesPollInterval is how often the entries' rows are read while no ticket
	// awaits confirmation.
	entriesPollInterval = endive.Interval(10 * time.Second)
	// maxRegisterPolls is the number of polls without a registration after which an
	// entry requests a configuration from its peers.
	maxRegisterPolls = 3
	// stateRequestsPerPoll is the number of peers from which a poll requests
	// the configuration.
	stateRequestsPerPoll = 2
)

// poll reads the table. If the table does not answer, poll requests the configuration
// from peers.
func (m *Machine) poll(now time.Time) []endive.Action {
	var actions []endive.Action
	if m.newestAnnounced > m.known.completeRevision() && m.newestAnnounced > m.newestRequested {
		m.newestRequested = m.newestAnnounced
		actions = append(actions, m.scanConfig(now)...)
	}
	if now.Before(m.nextPoll) {
		return actions
	}
	// Half a poll interval allows for a scan that an announced revision has just
	// triggered.
	since := (-m.settings.PollInterval / 2).After(now)
	m.nextPoll = m.settings.PollInterval.After(now)
	actions = append(actions, m.scanConfig(now)...)
	m.unregisteredPolls++
	if m.registration.registered {
		m.unregisteredPolls = 0
	}
	if m.config.Unavailable(since) || m.unregisteredPolls >= maxRegisterPolls {
		actions = append(actions, m.requestState(now)...)
	}
	if m.awaitingConfirmation() || !m.registration.registered || !now.Before(m.nextEntriesPoll) {
		m.nextEntriesPoll = entriesPollInterval.After(now)
		_, more := m.entries.Request(now)
		actions = append(actions, more...)
	}
	return append(actions, m.resendNotices()...)
}

// scanConfig requests the changes of the configuration from the table.
func (m *Machine) scanConfig(now time.Time) []endive.Action {
	_, actions := m.config.Request(now)
	return actions
}

// handleScanned handles the result of a scan.
func (m *Machine) handleScanned(now time.Time, e endive.Scanned) []endive.Action {
	switch e.Prefix {
	case configPrefix:
		return m.handleConfigScanned(now, e)
	case entryPrefix:
		return m.handleEntriesScanned(now, e)
	}
	return nil
}

// handleConfigScanned merges changes of the configuration. The scan also shows that
// the configuration was current when the scan was sent.
func (m *Machine) handleConfigScanned(now time.Time, e endive.Scanned) []endive.Action {
	sent, ok := m.config.Receive(e)
	if !ok {
		return m.config.Rescan(now)
	}
	var actions []endive.Action
	var newest endive.Revision
	for _, row := range e.Changes.Rows {
		key, got, err := decodeConfigRow(row)
		newest = max(newest, row.Revision)
		if err != nil {
			m.known.unreadable[key] = row.Revision
			actions = append(actions, m.decision(string(key), "unreadable", err.Error()))
			continue
		}
		m.known.merge(key, got)
	}
	m.known.markComplete(newest)
	if m.config.LastSucceeded() >= m.registration.minConfigScan {
		m.registration.finish(now, m.settings.ContactTimeout)
	}
	if m.registration.registered {
		m.registration.extend(sent, m.settings.ContactTimeout)
	}
	return append(actions, m.config.Rescan(now)...)
}

// handleEntriesScanned updates the registry of entries.
func (m *Machine) handleEntriesScanned(now time.Time, e endive.Scanned) []endive.Action {
	if _, ok := m.entries.Receive(e); !ok {
		return m.entries.Rescan(now)
	}
	m.registry.merge(e.Changes.Rows)
	own, ok := m.registry.rows[m.self]
	m.registration.version = 0
	if ok {
		m.registration.version = own.version
	}
	if !m.registration.written && (!ok || own.unregistered || own.incarnation == m.incarnation) {
		m.previousGrantsEnd = time.Time{}
	}
	return m.entries.Rescan(now)
}
