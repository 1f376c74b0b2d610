package lease

import (
	"fmt"
	"time"

	"endiveroute.example/endive"
)

// vacate writes an epoch row without a holder when a planned stop finds no successor, so that
// the next entry needn't wait for the lease to expire. It is only called after this entry has
// ended its operations on the slice, or after the lease has expired.
func (m *Machine) vacate(now time.Time, s *sliceState) []endive.Action {
	next := s.nextRow("", "")
	next.HandedBy = m.self
	if !s.holderStopped {
		// The slice's state machine didn't confirm that it has stopped, so the row must not
		// report a hand-over. The lease has already expired.
		s.stage = stageNotHeld
		return nil
	}
	s.stage = stageTransferring
	s.successor = ""
	s.sentAt = now
	s.writeID = m.ids.Next()
	s.writtenRow = next
	return []endive.Action{
		newDecision(s, "vacate", fmt.Sprintf("planned stop: no other entry is available; releases epoch %d", s.row.Epoch)),
		endive.Commit{Transaction: s.transferTransaction(s.writeID, next)},
	}
}

// vacant reports whether the last holder released the slice in a planned stop without a
// successor.
func (s *sliceState) vacant() bool { return s.epochVersion > 0 && s.row.Holder == "" }
