package keep

import (
	"time"

	"endiveroute.example/endive"
)

// keyState is what an entry knows of one idempotency key while it is at work on
// it.
type keyState struct {
	key     string
	phase   phase
	waiters []waiter

	// row is the newest that was seen, or that this entry has written; version is
	// 0 before.
	row     intentRow
	version endive.Version
	// versionSeenAt is when the version was first seen.
	versionSeenAt time.Time

	// ownRequest is the request of this entry whose intent is written or that runs.
	ownRequest waiter
	// nextRow is the row that the transaction on its way writes.
	nextRow intentRow
	writeID endive.WriteID
	// body is the answer's body while it is being recorded.
	body []byte
	// dueAt is when the phase goes on by itself; zero where it waits for an
	// event.
	dueAt time.Time
	// pollDelay is how long the next look at a pending row waits.
	pollDelay endive.Interval
}

// update notes a row. A new version begins the watch anew.
func (r *keyState) update(row intentRow, version endive.Version, now time.Time) {
	if version == r.version {
		return
	}
	r.row, r.version, r.versionSeenAt = row, version, now
}

// expiresAt returns when the request of a pending row has certainly ended: its
// deadline and a margin, counted from when the row was first seen.
func (r *keyState) expiresAt(margin endive.Interval) time.Time {
	remaining := endive.Interval(time.Duration(r.row.RemainingMillis) * time.Millisecond)
	return (remaining + margin).After(r.versionSeenAt)
}

// answerWaiters answers the waiters that a test holds for.
func (r *keyState) answerWaiters(a Result, match func(waiter) bool) []endive.Action {
	var actions []endive.Action
	var rest []waiter
	for _, w := range r.waiters {
		if !match(w) {
			rest = append(rest, w)
			continue
		}
		a.Tag = w.tag
		actions = append(actions, a)
	}
	r.waiters = rest
	return actions
}

// rejectMismatched answers the waiters whose content isn't that of the row.
func (r *keyState) rejectMismatched() []endive.Action {
	digest := r.row.Digest
	return r.answerWaiters(
		Result{Conflict: true, Reason: "the key was used for a request with other content"},
		func(w waiter) bool { return !w.isLookup && w.digest != digest },
	)
}

// firstRunnable returns the first waiter that would try the request itself.
func (r *keyState) firstRunnable(now time.Time) (waiter, bool) {
	for _, w := range r.waiters {
		if !w.isLookup && !w.sharesOutcome && now.Before(w.deadline) {
			return w, true
		}
	}
	return waiter{}, false
}

// transaction returns the one that writes the row of the key, unless it changed
// meanwhile.
func (r *keyState) transaction(id endive.WriteID, row intentRow) endive.Commit {
	r.writeID, r.nextRow = id, row
	return endive.Commit{Transaction: endive.Transaction{
		WriteID:    id,
		Conditions: []endive.Condition{{Key: r.key, Version: r.version}},
		Writes:     []endive.Write{{Key: r.key, Value: row.encode()}},
	}}
}

// allWaiters is the test that holds for each waiter.
func allWaiters(waiter) bool { return true }
