package lease

import (
	"fmt"
	"time"

	"endiveroute.example/endive"
)

// handleScanned takes over changed rows, and takes what nobody holds any more.
func (m *Machine) handleScanned(now time.Time, e endive.Scanned) []endive.Action {
	sentAt, ok := m.scanner.Receive(e)
	if !ok {
		return m.scanner.Rescan(now)
	}
	gap := sentAt.Sub(m.lastScanAt) > time.Duration(m.settings.Lease/2)
	m.lastScanAt = sentAt
	actions := m.applyRows(now, e.Changes.Rows)
	for _, s := range m.sortedStates() {
		if gap || s.unchangedSince.IsZero() {
			s.unchangedSince = now
		}
	}
	if now.Before(m.settings.Poll.After(sentAt)) {
		actions = append(actions, m.acquireExpired(now)...)
	}
	return append(actions, m.scanner.Rescan(now)...)
}

// applyRows takes over changed rows.
func (m *Machine) applyRows(now time.Time, rows []endive.Row) []endive.Action {
	var actions []endive.Action
	for _, row := range rows {
		if id, ok := sliceOf(row.Key, leaseSuffix); ok {
			s := m.stateOf(id)
			if s.stage == stageTransferred && row.Version > s.leaseVersion {
				s.stage = stageNotHeld
			}
			s.observeVersions(s.epochVersion, max(row.Version, s.leaseVersion), now)
		}
		if id, ok := sliceOf(row.Key, epochSuffix); ok {
			actions = append(actions, m.applyEpochRow(now, m.stateOf(id), row)...)
		}
	}
	return actions
}

// applyEpochRow takes over a row that names a holder.
func (m *Machine) applyEpochRow(now time.Time, s *sliceState, row endive.Row) []endive.Action {
	if row.Version <= s.epochVersion {
		return nil
	}
	newRow, err := decodeEpoch(row.Value)
	if err != nil {
		return []endive.Action{newDecision(s, "ignored", err.Error())}
	}
	var actions []endive.Action
	if s.stage == stageHeld || s.stage == stageReleasing {
		s.stage = stageNotHeld
		actions = append(actions, endive.PublishLease{Lease: s.leaseChanged()},
			newDecision(s, "lose", fmt.Sprintf("%s holds epoch %d", newRow.Holder, newRow.Epoch)))
	}
	s.row = newRow
	s.observeVersions(row.Version, s.leaseVersion, now)
	s.slice.Pool, s.slice.Region = newRow.Pool, newRow.Region
	switch {
	case s.stage == stageAcquiring || s.stage == stageTransferring:
		// The transaction on its way tells what became of it.
	case s.isHolder(m.self, m.incarnation):
		s.stage = stageAssigned
		m.renewAt = now
	default:
		s.stage = stageNotHeld
	}
	return actions
}

// acquireExpired takes the slices whose lease has certainly run out, and those that
// nobody ever held.
func (m *Machine) acquireExpired(now time.Time) []endive.Action {
	if m.stopping || now.Before(m.acquireFrom) {
		return nil
	}
	var actions []endive.Action
	for _, s := range m.sortedStates() {
		candidateRank, isCandidate := rank(s.slice, m.members.Peers, m.self)
		if s.stage != stageNotHeld || !s.hasWorkers || !isCandidate || now.Before(s.retryAt) {
			continue
		}
		wait := endive.Interval(candidateRank) * m.settings.Stagger
		reason := fmt.Sprintf("nobody held it; %d entries are preferred", candidateRank)
		if s.vacant() {
			reason = fmt.Sprintf("%s left it in a planned stop; %d entries are preferred", s.row.HandedBy, candidateRank)
		} else if s.epochVersion > 0 {
			wait += m.settings.Lease + m.settings.Margin
			reason = fmt.Sprintf("%s didn't renew epoch %d for %s; %d entries are preferred",
				s.row.Holder, s.row.Epoch, now.Sub(s.unchangedSince), candidateRank)
		}
		if now.Before(wait.After(s.unchangedSince)) {
			continue
		}
		s.stage = stageAcquiring
		s.writeID = m.ids.Next()
		s.sentAt = now
		s.writtenRow = s.nextRow(m.self, m.incarnation)
		if s.vacant() {
			s.writtenRow.HandedBy = s.row.HandedBy
		}
		txn := s.transferTransaction(s.writeID, s.writtenRow)
		actions = append(actions, newDecision(s, "take", reason), endive.Commit{Transaction: txn})
	}
	return actions
}

// handleAcquired takes the answer to the transaction that takes a slice.
func (m *Machine) handleAcquired(now time.Time, s *sliceState, e endive.Committed) []endive.Action {
	if e.Status == endive.CommitUnknown {
		return nil
	}
	s.stage = stageNotHeld
	if e.Status != endive.CommitApplied {
		s.retryAt = retryDelay.After(now)
		actions := m.applyRows(now, e.Conflicts)
		_, more := m.scanner.Request(now)
		return append(actions, more...)
	}
	if e.Result.Versions[0] < s.epochVersion {
		return nil
	}
	s.row = s.writtenRow
	s.observeVersions(e.Result.Versions[0], max(e.Result.Versions[1], s.leaseVersion), now)
	return m.extendLease(now, s, s.sentAt, s.row.HandedBy != "")
}

// extendLease begins or prolongs the lease on a slice, from when its transaction was
// sent.
func (m *Machine) extendLease(now time.Time, s *sliceState, sentAt time.Time, handedOver bool) []endive.Action {
	if s.stage != stageHeld {
		s.stage = stageHeld
		s.acquiredAt = now
		s.handedOver = handedOver
		s.leaseEnd = time.Time{}
		m.renewAt = now
	}
	if leaseEnd := m.settings.Lease.After(sentAt); leaseEnd.After(s.leaseEnd) {
		s.leaseEnd = leaseEnd
	}
	return []endive.Action{endive.PublishLease{Lease: s.leaseChanged()}}
}
