package slots

import (
	"time"

	"endiveroute.example/endive"
)

// lenderKey names the owner of executors of a service.
type lenderKey struct {
	owner   endive.EntryID
	service endive.ServiceName
}

// lender is where this entry borrows slots of a service: one owner's executors.
type lender struct {
	lenderKey
	// wanted is what the owner was told last, and when.
	wanted  int
	askedAt time.Time
	// available is how many more slots the owner could lend when it said so last, and
	// answeredAt is when.
	available  int
	answeredAt time.Time
	// remote says that the owner's executors are in another region.
	remote bool
	// sentAt are the times of the asks that may still be answered.
	sentAt map[uint64]time.Time
	// recallOldest is the oldest waiting request of others, heeded until recallEnd.
	recallOldest time.Time
	recallEnd    time.Time
}

// recalled reports whether others have waited longer than this entry's oldest
// request.
func (s *lender) recalled(now time.Time, own endive.SlotDemand) bool {
	if !s.recallEnd.After(now) {
		return false
	}
	return own.Waiting == 0 || s.recallOldest.Before(own.Oldest)
}

// shouldReturn reports whether slots of the owner are needed more elsewhere: it has no
// more, others have waited longer, or they are far and nothing here is worth the
// way.
func (s *lender) shouldReturn(now time.Time, own endive.SlotDemand) bool {
	if s.recalled(now, own) {
		return true
	}
	if own.Waiting > 0 {
		return false
	}
	return s.remote || s.available == 0 && recallTimeout.After(s.answeredAt).After(now)
}

// removeExpired drops the times of asks whose lease would be over.
func (s *lender) removeExpired(now time.Time) {
	for sequence, at := range s.sentAt {
		if !leaseDuration.After(at).After(now) {
			delete(s.sentAt, sequence)
		}
	}
}
