package flow

import "endiveroute.example/endive"

// A worker to which no connection can be opened is cut off from this holder, even if the platform hears it. Polls that
// couldn't be sent have renewed nothing, so its leases expire as early as if they hadn't been sent. What it may report when
// it is back is acknowledged after that, so that its tasks may start elsewhere before.

// grantedLease is the lease in a poll, and what was granted before.
type grantedLease struct {
	// call is the number of the call among those with a lease to the worker.
	call uint64
	// before is the latest end of a lease in earlier calls.
	before endive.WorkerTime
}

// recordUnsentPoll takes the lease in a poll back that surely wasn't sent, if no later call has granted one.
func (w *worker) recordUnsentPoll(poll openPoll, result OrderResult) {
	unsent := result == OrderNotSent || result == OrderRefused
	w.unsent = unsent
	if unsent && poll.renews && poll.sentTo == w.incarnations && poll.lease.call == w.leaseCalls {
		w.leaseEnd = poll.lease.before
	}
}
