package cell

import (
	"sync"
	"time"

	"endiveroute.example/endive"
)

const (
	// unconfirmedRetention is how long after a write without an answer its workflow may still turn out
	// to be stored, at this entry's next answer to its caller.
	unconfirmedRetention = 30 * time.Second
	// maxUnconfirmed bounds the workflows that are remembered.
	maxUnconfirmed = 4096
)

// unconfirmedSubmissions are the workflows that may be stored, since a write of theirs had no answer. The
// load: a part of the store is silent, and callers hand their work in again and again. It
// isn't refused as not run while it may run. It is safe for concurrent use.
type unconfirmedSubmissions struct {
	mu        sync.Mutex
	lastTryAt map[endive.JobID]time.Time
}

// resolve takes in what became of a submission, and returns what its caller may be told.
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
	case unconfirmed && now.Sub(at) < unconfirmedRetention:
		result.Status = endive.SubmitUnknown
		result.Reason += "; an earlier try may be stored"
	}
	return result
}

// add remembers a workflow, in place of the oldest where there are too many.
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
