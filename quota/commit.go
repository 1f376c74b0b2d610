package quota

import (
	"time"

	"endiveroute.example/endive"
)

// pendingParts is a transaction that has no answer yet.
type pendingParts struct {
	writeID endive.WriteID
	parts   parts
}

// lowerTo includes a transaction in lowest.
func (s *Stored) lowerTo(next parts) {
	lowest := make(map[endive.AccountName]amounts)
	for name, part := range s.rows[s.pool].Parts {
		lowest[name] = part.atMost(next.Parts[name])
		if s.lowest != nil {
			lowest[name] = lowest[name].atMost(s.lowest[name])
		}
	}
	s.lowest = lowest
}

// transaction returns the write of this pool's row.
func (s *Stored) transaction(next parts, grows bool) endive.Transaction {
	txn := endive.Transaction{
		WriteID:    s.inFlight.writeID,
		Conditions: []endive.Condition{{Key: partsKey(s.pool), Version: s.rows[s.pool].version}},
		Writes:     []endive.Write{{Key: partsKey(s.pool), Value: encodeParts(next)}},
	}
	if grows {
		txn.Conditions = append(txn.Conditions, endive.Condition{Key: growthKey, Version: s.growth})
		txn.Writes = append(txn.Writes, endive.Write{Key: growthKey, Value: []byte("{}")})
	}
	return txn
}

// HandleCommitted implements endive.QuotaDivision.
func (s *Stored) HandleCommitted(now time.Time, result endive.Committed) bool {
	if s.inFlight == nil || s.inFlight.writeID != result.WriteID {
		return false
	}
	switch result.Status {
	case endive.CommitApplied:
		s.rows[s.pool] = partsRow{parts: s.inFlight.parts, version: result.Result.Versions[0]}
		if len(result.Result.Versions) > 1 {
			s.growth = max(s.growth, result.Result.Versions[1])
		}
		s.begun = true
		s.settle()
	case endive.CommitConflict:
		// The conflicting rows show whether an earlier write whose answer was lost was applied.
		// They don't have the other pools' rows, so a newer growth row is only noted.
		s.handleConflict(result.Conflicts)
		s.writeAt = now
	default:
		s.answerLost = s.answerLost || result.Status == endive.CommitUnknown
		s.drop()
		s.writeAt = now.Add(retryDelay)
	}
	return true
}

// handleConflict takes the rows that a transaction conflicted with.
func (s *Stored) handleConflict(rows []endive.Row) {
	before := s.rows[s.pool].version
	for _, row := range rows {
		if row.Key == growthKey {
			s.growthSeen = max(s.growthSeen, row.Version)
		} else {
			s.HandleRows([]endive.Row{row}, false)
		}
	}
	if s.rows[s.pool].version == before {
		s.drop()
		return
	}
	s.begun = s.epoch > 0 && s.rows[s.pool].Epoch == s.epoch
	s.settle()
}

// drop ends the wait for the answer to a transaction that wasn't applied or may not have been.
func (s *Stored) drop() {
	s.inFlight = nil
	if !s.answerLost {
		s.lowest = nil
	}
}

// settle records that no transaction without a result can be applied any more, since they all
// had the same condition on this pool's row as the one that was answered.
func (s *Stored) settle() { s.inFlight, s.lowest, s.answerLost = nil, nil, false }
