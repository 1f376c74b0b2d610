package slots

import (
	"time"

	"endiveroute.example/endive"
)

const (
	// leaseDuration is how long after its last request for slots a borrower may
	// start requests on lent slots.
	leaseDuration = endive.Interval(4 * time.Second)
	// leaseMargin is how much earlier the borrower stops starting requests on
	// lent slots, to allow for clocks that run at different rates.
	leaseMargin = endive.Interval(200 * time.Millisecond)
	// renewBefore is how long before the end of a lease the borrower renews it.
	// The renewal and its answer also repair the effects of lost messages.
	renewBefore = endive.Interval(3 * time.Second)
	// confirmBefore is how long before the end of a lease the owner requests
	// the borrower's holding if the lease wasn't renewed.
	confirmBefore = endive.Interval(2500 * time.Millisecond)
	// renewPeriod is the interval at which a borrower repeats an unanswered
	// renewal.
	renewPeriod = endive.Interval(500 * time.Millisecond)
	// idleTimeout is how long a borrower keeps an unused slot.
	idleTimeout = endive.Interval(500 * time.Millisecond)
	// recallTimeout is how long a recall stays valid.
	recallTimeout = endive.Interval(100 * time.Millisecond)
	// recallPeriod is the interval at which an owner recalls slots of a
	// service.
	recallPeriod = endive.Interval(20 * time.Millisecond)
	// claimPeriod is the interval at which an owner repeats its claims.
	claimPeriod = endive.Interval(100 * time.Millisecond)
	// spreadDelay is how long this entry requests slots from the first owners
	// only, before it requests slots from the others too.
	spreadDelay = endive.Interval(5 * time.Millisecond)
	// changedDemandPeriod is the minimum interval between messages about a
	// changed demand.
	changedDemandPeriod = endive.Interval(50 * time.Millisecond)
	// repeatDemandPeriod is the interval at which an unmet demand is sent
	// again.
	repeatDemandPeriod = endive.Interval(100 * time.Millisecond)
	// demandTimeout is how long an owner keeps a demand that isn't repeated.
	demandTimeout = endive.Interval(time.Second)
	// firstLenders is the number of owners from which slots are requested
	// first.
	firstLenders = 1
	// crossRegionHandicap is how much longer a request of another region must
	// have waited, since the slot is unused during the round trip between the
	// regions.
	crossRegionHandicap = endive.Interval(400 * time.Millisecond)
	// busyWakePeriod and idleWakePeriod are the wake-up intervals with and
	// without unmet demand.
	busyWakePeriod = endive.Interval(5 * time.Millisecond)
	idleWakePeriod = endive.Interval(100 * time.Millisecond)
	// pauseThreshold is the time between two steps that counts as a pause of
	// the process. It is shorter than the time after which peers suspect a
	// silent entry, less the heartbeat interval.
	pauseThreshold = endive.Interval(time.Second)
)
