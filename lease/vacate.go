package lease

import (
	"fmt"
	"time"

	"endiveroute.example/endive"
)

// vacate leaves a slice to whoever comes next, where a planned stop finds no
// successor: the row names nobody, so that no later entry waits for the lease.
// It is only called once nothing of this entry is at work in the slice, or its
// lease has run out.
func (m *Machine) vacate(now time.Time, s *sliceState) []endive.Action {
	next := s.nextRow("", "")
	next.HandedBy = m.self
	if !s.holderStopped {
		// The holder machine never said that it stopped: the next holder must not
		// count on that. The lease has run out already.
		s.stage = stageNotHeld
		return nil
	}
	s.stage = stageTransferring
	s.successor = ""
	s.sentAt = now
	s.writeID = m.ids.Next()
	s.writtenRow = next
	return []endive.Action{
		newDecision(s, "vacate", fmt.Sprintf("no other entry is live; ends epoch %d in a planned stop", s.row.Epoch)),
		endive.Commit{Transaction: s.transferTransaction(s.writeID, next)},
	}
}

// vacant reports whether the last holder left the slice in a planned stop.
func (s *sliceState) vacant() bool { return s.epochVersion > 0 && s.row.Holder == "" }
