package lease

import (
	"fmt"
	"time"

	"endiveroute.example/endive"
)

// handleScanned applies the rows of a scan and acquires the slices whose lease
// has expired. After a gap in the scans, it counts the time without a change
// from now again, because this entry may have missed renewals.
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

// applyRows updates the states of the slices with rows that were read.
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

// applyEpochRow updates the state of a slice with a newer epoch row. If the row names another
// holder, this entry loses the slice.
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
		// The result of the transaction in flight decides the next stage.
	case s.isHolder(m.self, m.incarnation):
		s.stage = stageAssigned
		m.renewAt = now
	default:
		s.stage = stageNotHeld
	}
	return actions
}

// acquireExpired acquires slices whose lease has certainly expired and slices without a
// holder. Entries that are preferred for a slice get a head start.
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
		reason := fmt.Sprintf("no entry has held the slice yet; %d entries are preferred", candidateRank)
		if s.vacant() {
			reason = fmt.Sprintf("%s released the slice in a planned stop; %d entries are preferred", s.row.HandedBy, candidateRank)
		} else if s.epochVersion > 0 {
			wait += m.settings.Lease + m.settings.Margin
			reason = fmt.Sprintf("%s has not renewed epoch %d for %s; %d entries are preferred",
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

// handleAcquired handles the result of the transaction that acquires a slice.
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

// extendLease begins or extends the lease of a slice. The lease is counted from when its
// transaction was sent, because other entries may see the write before this entry gets the result.
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
