package cell

import (
	"sync"
	"time"

	"endiveroute.example/endive"
)

const (
	// unconfirmedRetention is how long after a write without an answer this entry assumes
	// that the workflow may be stored.
	unconfirmedRetention = 30 * time.Second
	// maxUnconfirmed limits the tracked workflows.
	maxUnconfirmed = 4096
)

// unconfirmedSubmissions tracks the workflows that may be stored, because a write of their
// submission got no answer. While a partition of the store doesn't answer, clients submit their
// workflows repeatedly. A workflow that may run must not be refused as one that has not run.
// unconfirmedSubmissions is safe for concurrent use.
type unconfirmedSubmissions struct {
	mu        sync.Mutex
	lastTryAt map[endive.JobID]time.Time
}

// resolve records the result of a submission and returns the result for its client:
// SubmitUnknown if an earlier try may be stored.
func (u *unconfirmedSubmissions) resolve(now time.Time, id endive.JobID, result endive.SubmitResult) endive.SubmitResult {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.lastTryAt == nil {
		u.lastTryAt = make(map[endive.JobID]time.Time)
	}
	at, unconfirmed := u.lastTryAt[id]
	switch {
	case result.Status == endive.SubmitAccepted:
		delete(u.lastTryAt, id)
	case result.Status == endive.SubmitUnknown:
		u.add(now, id)
	case result.Status == endive.SubmitNotOwner, result.Status == endive.SubmitRevoked:
		// The store has answered: no try of this account was stored.
	case unconfirmed && now.Sub(at) < unconfirmedRetention:
		result.Status = endive.SubmitUnknown
		result.Reason += "; an earlier try may have been stored"
	}
	return result
}

// add tracks a workflow. If there are too many, it evicts the oldest one.
func (u *unconfirmedSubmissions) add(now time.Time, id endive.JobID) {
	if _, ok := u.lastTryAt[id]; !ok && len(u.lastTryAt) >= maxUnconfirmed {
		u.evictOldest()
	}
	u.lastTryAt[id] = now
}

func (u *unconfirmedSubmissions) evictOldest() {
	var oldest endive.JobID
	for id, at := range u.lastTryAt {
		if oldest == "" || at.Before(u.lastTryAt[oldest]) {
			oldest = id
		}
	}
	delete(u.lastTryAt, oldest)
}
