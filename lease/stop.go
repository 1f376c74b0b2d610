package lease

import (
	"fmt"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// beginStop begins a planned stop: it releases the slices, so that their state machines stop
// before the slices are handed over.
func (m *Machine) beginStop(e HandOver) []endive.Action {
	m.stopping = true
	m.stopDeadline = e.Deadline
	var actions []endive.Action
	for _, s := range m.sortedStates() {
		actions = append(actions, m.release(s)...)
	}
	return actions
}

// release prepares a slice for the hand-over in a planned stop. If this entry holds the
// slice, its state machine must stop first.
func (m *Machine) release(s *sliceState) []endive.Action {
	switch s.stage {
	case stageAssigned:
		s.holderStopped = s.row.HandedBy != ""
		s.stage = stageReleased
	case stageHeld:
		s.holderStopped = false
		s.stage = stageReleasing
		return []endive.Action{endive.PublishLease{Lease: s.leaseChanged()}}
	}
	return nil
}

// handleReleased records that the state machine of a slice has stopped.
func (m *Machine) handleReleased(id endive.SliceID) {
	if s, ok := m.states[id]; ok && s.stage == stageReleasing {
		s.holderStopped = true
		s.stage = stageReleased
	}
}

// handOver names a successor for each released slice. It emits HandedOver once no slice
// remains or the deadline has passed.
func (m *Machine) handOver(now time.Time) []endive.Action {
	if !m.stopping || m.handOverDone {
		return nil
	}
	var actions []endive.Action
	var remaining []endive.SliceID
	unfinished := false
	for _, s := range m.sortedStates() {
		actions = append(actions, m.release(s)...)
		if s.stage == stageReleasing && !now.Before(s.leaseEnd) {
			s.stage = stageReleased
		}
		if s.stage == stageReleased && !now.Before(s.retryAt) {
			actions = append(actions, m.nameSuccessor(now, s)...)
		}
		if s.stage != stageNotHeld {
			unfinished = true
			remaining = append(remaining, s.slice.ID)
		}
	}
	if unfinished && now.Before(m.stopDeadline) {
		return actions
	}
	m.handOverDone = true
	return append(actions, HandedOver{Remaining: remaining})
}

// nameSuccessor writes the next holder of a slice to the epoch row.
func (m *Machine) nameSuccessor(now time.Time, s *sliceState) []endive.Action {
	s.retryAt = retryDelay.After(now)
	var successor endive.Peer
	for _, p := range rankCandidates(s.slice, m.members.Peers) {
		if p.ID != m.self {
			successor = p
			break
		}
	}
	if successor.ID == "" {
		return m.vacate(now, s)
	}
	next := s.nextRow(successor.ID, successor.Incarnation)
	if s.holderStopped {
		next.HandedBy = m.self
	}
	s.stage = stageTransferring
	s.successor = successor.ID
	s.sentAt = now
	s.writeID = m.ids.Next()
	s.writtenRow = next
	return []endive.Action{
		newDecision(s, string(successor.ID), fmt.Sprintf("planned stop: hands the slice over under epoch %d", next.Epoch)),
		endive.Commit{Transaction: s.transferTransaction(s.writeID, next)},
	}
}

// handleSuccessorNamed handles the result of the transaction that names a successor, and
// offers the slice to it.
func (m *Machine) handleSuccessorNamed(now time.Time, s *sliceState, e endive.Committed) []endive.Action {
	switch e.Status {
	case endive.CommitUnknown:
		return nil
	case endive.CommitUnavailable:
		s.stage = stageReleased
		return nil
	case endive.CommitConflict:
		actions := m.applyRows(now, e.Conflicts)
		s.stage = stageNotHeld
		if s.isHolder(m.self, m.incarnation) {
			s.stage = stageReleased
			s.retryAt = now
		}
		_, more := m.scanner.Request(now)
		return append(actions, more...)
	}
	s.stage = stageNotHeld
	if e.Result.Versions[0] < s.epochVersion {
		return nil
	}
	s.row = s.writtenRow
	s.observeVersions(e.Result.Versions[0], e.Result.Versions[1], now)
	if s.vacant() {
		return nil
	}
	s.stage = stageTransferred
	return []endive.Action{endive.Send{To: s.successor, Message: &wire.SliceOffer{
		Slice: string(s.slice.ID), Epoch: uint64(s.row.Epoch),
	}}}
}
