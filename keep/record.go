package keep

import (
	"time"

	"endiveroute.example/endive"
)

// record is what an entry knows of one idempotency key while it is at work on
// it.
type record struct {
	key     string
	phase   phase
	waiters []waiter

	// row is the newest that was seen, or that this entry has written; version is
	// 0 before.
	row     intentRow
	version endive.Version
	// unchanged is when the version was first seen.
	unchanged time.Time

	// lead is the request of this entry whose intent is written or that runs.
	lead waiter
	// next is the row that the transaction on its way writes.
	next    intentRow
	writeID endive.WriteID
	// body is the answer's body while it is being recorded.
	body []byte
	// actAt is when the phase goes on by itself; zero where it waits for an
	// event.
	actAt time.Time
	// pause is how long the next look at a pending row waits.
	pause endive.Interval
}

// see notes a row. A new version begins the watch anew.
func (r *record) see(row intentRow, version endive.Version, now time.Time) {
	if version == r.version {
		return
	}
	r.row, r.version, r.unchanged = row, version, now
}

// expires returns when the request of a pending row has certainly ended: its
// deadline and a margin, counted from when the row was first seen.
func (r *record) expires(margin endive.Interval) time.Time {
	remaining := endive.Interval(time.Duration(r.row.RemainingMillis) * time.Millisecond)
	return (remaining + margin).After(r.unchanged)
}

// answerAll answers the waiters that a test holds for.
func (r *record) answerAll(a Result, test func(waiter) bool) []endive.Action {
	var actions []endive.Action
	var rest []waiter
	for _, w := range r.waiters {
		if !test(w) {
			rest = append(rest, w)
			continue
		}
		a.Tag = w.tag
		actions = append(actions, a)
	}
	r.waiters = rest
	return actions
}

// refuseOthers answers the waiters whose content isn't that of the row.
func (r *record) refuseOthers() []endive.Action {
	digest := r.row.Digest
	return r.answerAll(
		Result{Conflict: true, Reason: "the key was used for a request with other content"},
		func(w waiter) bool { return !w.lookup && w.digest != digest },
	)
}

// candidate returns the first waiter that would try the request itself.
func (r *record) candidate(now time.Time) (waiter, bool) {
	for _, w := range r.waiters {
		if !w.lookup && !w.waited && now.Before(w.deadline) {
			return w, true
		}
	}
	return waiter{}, false
}

// transaction returns the one that writes the row of the key, unless it changed
// meanwhile.
func (r *record) transaction(id endive.WriteID, row intentRow) endive.Commit {
	r.writeID, r.next = id, row
	return endive.Commit{Transaction: endive.Transaction{
		WriteID:    id,
		Conditions: []endive.Condition{{Key: r.key, Version: r.version}},
		Writes:     []endive.Write{{Key: r.key, Value: row.encode()}},
	}}
}

// everyone is the test that holds for each waiter.
func everyone(waiter) bool { return true }
