package lease

import (
	"fmt"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// renew renews all leases in one transaction if that is due. The versions of
// the epoch rows are conditions of the transaction, so that the lease of a
// slice that another entry acquired can't be renewed.
func (m *Machine) renew(now time.Time) []endive.Action {
	if m.renewal.writeID != "" || now.Before(m.renewAt) {
		return nil
	}
	txn := endive.Transaction{}
	var renewed []renewedSlice
	for _, s := range m.sortedStates() {
		if s.stage != stageHeld && s.stage != stageAssigned {
			continue
		}
		renewed = append(renewed, renewedSlice{s.slice.ID, s.row.Epoch})
		txn.Conditions = append(txn.Conditions, endive.Condition{Key: epochKey(s.slice.ID), Version: s.epochVersion})
		txn.Writes = append(txn.Writes, endive.Write{Key: leaseKey(s.slice.ID), Value: leaseRow{s.row.Epoch}.encode()})
	}
	m.renewAt = m.settings.Renewal.After(now)
	if len(renewed) == 0 {
		return nil
	}
	txn.WriteID = m.ids.Next()
	m.renewal = renewal{writeID: txn.WriteID, sentAt: now, slices: renewed}
	return []endive.Action{endive.Commit{Transaction: txn}}
}

// handleCommitted handles the result of a transaction.
func (m *Machine) handleCommitted(now time.Time, e endive.Committed) []endive.Action {
	if e.WriteID == "" {
		return nil
	}
	if e.WriteID == m.renewal.writeID {
		return m.handleRenewed(now, e)
	}
	for _, s := range m.sortedStates() {
		if s.writeID != e.WriteID {
			continue
		}
		switch s.stage {
		case stageAcquiring:
			return m.handleAcquired(now, s, e)
		case stageTransferring:
			return m.handleSuccessorNamed(now, s, e)
		}
	}
	return nil
}

// handleRenewed handles the result of a renewal. No other renewal is sent while the result is
// unknown. A successful renewal extends the leases from when it was sent.
func (m *Machine) handleRenewed(now time.Time, e endive.Committed) []endive.Action {
	if e.Status == endive.CommitUnknown {
		return nil
	}
	r := m.renewal
	m.renewal = renewal{}
	switch e.Status {
	case endive.CommitConflict:
		actions := m.applyRows(now, e.Conflicts)
		m.renewAt = retryDelay.After(now)
		if m.renewsLostSlice(r) {
			m.renewAt = now
		}
		_, more := m.scanner.Request(now)
		return append(actions, more...)
	case endive.CommitUnavailable:
		m.renewAt = retryDelay.After(now)
		return nil
	}
	var actions []endive.Action
	for i, renewed := range r.slices {
		s := m.states[renewed.id]
		s.observeVersions(s.epochVersion, max(e.Result.Versions[i], s.leaseVersion), now)
		if s.row.Epoch != renewed.epoch || !s.isHolder(m.self, m.incarnation) {
			continue
		}
		switch s.stage {
		case stageAssigned:
			actions = append(actions, m.accept(now, s, r.sentAt)...)
		case stageHeld:
			actions = append(actions, m.extendLease(now, s, r.sentAt, s.handedOver)...)
		}
	}
	return actions
}

// renewsLostSlice reports whether a renewal includes a slice that this entry doesn't hold any
// more, or holds under another epoch.
func (m *Machine) renewsLostSlice(r renewal) bool {
	for _, renewed := range r.slices {
		s := m.states[renewed.id]
		if s.row.Epoch != renewed.epoch || (s.stage != stageHeld && s.stage != stageAssigned) {
			return true
		}
	}
	return false
}

// accept begins the lease of a slice that was handed over to this entry, and notifies the
// previous holder.
func (m *Machine) accept(now time.Time, s *sliceState, sentAt time.Time) []endive.Action {
	actions := m.extendLease(now, s, sentAt, s.row.HandedBy != "")
	reason := fmt.Sprintf("epoch %d was handed over by %s", s.row.Epoch, s.row.HandedBy)
	actions = append(actions, newDecision(s, "accept", reason))
	if s.row.HandedBy != "" {
		actions = append(actions, endive.Send{To: s.row.HandedBy, Message: &wire.SliceAnswer{
			Slice: string(s.slice.ID), Epoch: uint64(s.row.Epoch), Accepted: true,
		}})
	}
	return actions
}
