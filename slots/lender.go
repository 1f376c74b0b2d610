package slots

import (
	"time"

	"endiveroute.example/endive"
)

// lenderKey identifies a lender: an owner of executors of a service.
type lenderKey struct {
	owner   endive.EntryID
	service endive.ServiceName
}

// lender is what this entry, as a borrower, keeps about one owner that lends it
// slots of a service.
type lender struct {
	lenderKey
	// wanted is the demand sent to the owner last, and askedAt is when that
	// demand was sent.
	wanted  int
	askedAt time.Time
	// available is the number of slots that the owner could still lend
	// according to the last grant, and answeredAt is when that grant arrived.
	available  int
	answeredAt time.Time
	// remote is set if the owner's executors are in another region.
	remote bool
	// sentAt holds the send times of the requests for slots that may still be
	// answered.
	sentAt map[uint64]time.Time
	// recallOldest is the arrival time of the oldest waiting request of other
	// entries, valid until recallEnd.
	recallOldest time.Time
	recallEnd    time.Time
}

// recalled reports whether requests of other entries have waited longer than
// this entry's oldest one.
func (l *lender) recalled(now time.Time, own endive.SlotDemand) bool {
	if !l.recallEnd.After(now) {
		return false
	}
	return own.Waiting == 0 || l.recallOldest.Before(own.Oldest)
}

// shouldReturn reports whether unused slots of the owner should be returned:
// requests of other entries have waited longer, or this entry has no queued
// requests and the owner either is remote or has no more slots to lend.
func (l *lender) shouldReturn(now time.Time, own endive.SlotDemand) bool {
	if l.recalled(now, own) {
		return true
	}
	if own.Waiting > 0 {
		return false
	}
	return l.remote || l.available == 0 && recallTimeout.After(l.answeredAt).After(now)
}

// removeExpired removes the send times of requests whose lease would have
// ended.
func (l *lender) removeExpired(now time.Time) {
	for sequence, at := range l.sentAt {
		if !leaseDuration.After(at).After(now) {
			delete(l.sentAt, sequence)
		}
	}
}
