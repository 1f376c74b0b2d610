package cell

import (
	"sync"
	"time"

	"endiveroute.example/endive"
)

const (
	// acceptedRetention is how long after an acceptance this entry surely remembers it. Clients repeat submissions
	// for some seconds.
	acceptedRetention = 30 * time.Second
	// maxAcceptedSubmissions limits each of the two generations of remembered acceptances.
	maxAcceptedSubmissions = 8192
)

// acceptedSubmissions are the workflows that this entry has accepted lately, with their accounts. A client may submit a
// workflow again after it was accepted; while the store doesn't answer, that must not be refused as one that never runs.
// acceptedSubmissions is safe for concurrent use.
type acceptedSubmissions struct {
	mu sync.Mutex
	// newer are the acceptances since newerSince; older are those of the generation before.
	newer, older map[endive.JobID]endive.AccountName
	newerSince   time.Time
}

// resolve records the result of a submission and returns the result for its client: SubmitAccepted if this entry has
// accepted the workflow before and the store hasn't answered now.
func (s *acceptedSubmissions) resolve(now time.Time, id endive.JobID, account endive.AccountName, result endive.SubmitResult) endive.SubmitResult {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rotate(now)
	switch result.Status {
	case endive.SubmitAccepted:
		s.newer[id] = account
	case endive.SubmitNotOwner, endive.SubmitRevoked:
		// The store has answered.
	default:
		if s.accepted(id, account) {
			return endive.SubmitResult{Status: endive.SubmitAccepted, AlreadyStored: true, Reason: "was accepted by this entry before"}
		}
	}
	return result
}

// accepted reports whether a workflow of an account is remembered.
func (s *acceptedSubmissions) accepted(id endive.JobID, account endive.AccountName) bool {
	owner, ok := s.newer[id]
	if !ok {
		owner, ok = s.older[id]
	}
	return ok && owner == account
}

// rotate begins a new generation if the current one is old or full.
func (s *acceptedSubmissions) rotate(now time.Time) {
	age := now.Sub(s.newerSince)
	if s.newer != nil && age < acceptedRetention && len(s.newer) < maxAcceptedSubmissions {
		return
	}
	s.older = s.newer
	if age >= 2*acceptedRetention {
		s.older = nil
	}
	s.newer, s.newerSince = make(map[endive.JobID]endive.AccountName), now
}
