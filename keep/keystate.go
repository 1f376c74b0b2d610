package keep

import (
	"time"

	"endiveroute.example/endive"
)

// keyState is the state of one idempotency key that is in use at this entry.
type keyState struct {
	key     string
	phase   phase
	waiters []waiter

	// row is the newest value of the key's row, read or written by this entry;
	// version is 0 before the row was first read or written.
	row     intentRow
	version endive.Version
	// versionSeenAt is when this entry first saw the version.
	versionSeenAt time.Time

	// ownRequest is the request of this entry whose intent is being recorded or that
	// is running.
	ownRequest waiter
	// nextRow is the value that the pending transaction writes.
	nextRow intentRow
	writeID endive.WriteID
	// body is the response body while the outcome is being recorded.
	body []byte
	// dueAt is when the phase continues on a timer; zero if the phase waits for
	// an event.
	dueAt time.Time
	// pollDelay is the delay until the next poll of a pending row.
	pollDelay endive.Interval
}

// update records a row. A new version restarts the time after which a pending row
// expires.
func (s *keyState) update(row intentRow, version endive.Version, now time.Time) {
	if version == s.version {
		return
	}
	s.row, s.version, s.versionSeenAt = row, version, now
}

// expiresAt returns when the request of a pending row has certainly ended: the
// request's remaining time and a margin, counted from when the row was first seen.
func (s *keyState) expiresAt(margin endive.Interval) time.Time {
	remaining := endive.Interval(time.Duration(s.row.RemainingMillis) * time.Millisecond)
	return (remaining + margin).After(s.versionSeenAt)
}

// answerWaiters sends the result to each waiter that matches, and removes these
// waiters.
func (s *keyState) answerWaiters(a Result, match func(waiter) bool) []endive.Action {
	var actions []endive.Action
	var rest []waiter
	for _, w := range s.waiters {
		if !match(w) {
			rest = append(rest, w)
			continue
		}
		a.Tag = w.tag
		actions = append(actions, a)
	}
	s.waiters = rest
	return actions
}

// rejectMismatched returns a conflict to the waiters whose digest differs from the
// row's.
func (s *keyState) rejectMismatched() []endive.Action {
	digest := s.row.Digest
	return s.answerWaiters(
		Result{Conflict: true, Reason: "the key was used for a request with other content"},
		func(w waiter) bool { return !w.isLookup && w.digest != digest },
	)
}

// firstRunnable returns the first waiter whose request this entry may run itself.
func (s *keyState) firstRunnable(now time.Time) (waiter, bool) {
	for _, w := range s.waiters {
		if !w.isLookup && !w.sharesOutcome && now.Before(w.deadline) {
			return w, true
		}
	}
	return waiter{}, false
}

// transaction returns the transaction that writes the key's row if its version is
// unchanged.
func (s *keyState) transaction(id endive.WriteID, row intentRow) endive.Commit {
	s.writeID, s.nextRow = id, row
	return endive.Commit{Transaction: endive.Transaction{
		WriteID:    id,
		Conditions: []endive.Condition{{Key: s.key, Version: s.version}},
		Writes:     []endive.Write{{Key: s.key, Value: row.encode()}},
	}}
}

// allWaiters matches each waiter.
func allWaiters(waiter) bool { return true }
