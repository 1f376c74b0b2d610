package slots

import (
	"time"

	"endiveroute.example/endive"
)

const (
	// leaseDuration is how long a borrower may start requests on lent slots after
	// it sent its last ask.
	leaseDuration = endive.Interval(4 * time.Second)
	// leaseMargin is how much earlier a borrower stops, for clocks that run at
	// different rates.
	leaseMargin = endive.Interval(200 * time.Millisecond)
	// renewBefore is how long before the end of a lease the borrower asks again.
	// Its ask and the answer also find messages that were lost.
	renewBefore = endive.Interval(3 * time.Second)
	// confirmBefore is how long before the end of a lease the owner asks what the
	// borrower holds, if it didn't renew.
	confirmBefore = endive.Interval(2500 * time.Millisecond)
	// renewPeriod is how often a borrower repeats an ask that wasn't answered.
	renewPeriod = endive.Interval(500 * time.Millisecond)
	// idleTimeout is how long a borrower keeps a slot that it doesn't use.
	idleTimeout = endive.Interval(500 * time.Millisecond)
	// recallTimeout is how long a recall is heeded.
	recallTimeout = endive.Interval(100 * time.Millisecond)
	// recallPeriod is how often an owner recalls slots of a service.
	recallPeriod = endive.Interval(20 * time.Millisecond)
	// claimPeriod is how often an owner repeats its claims.
	claimPeriod = endive.Interval(100 * time.Millisecond)
	// spreadDelay is how long the first owners have before the others are asked.
	spreadDelay = endive.Interval(5 * time.Millisecond)
	// changedDemandPeriod is how often a changed demand is told.
	changedDemandPeriod = endive.Interval(50 * time.Millisecond)
	// repeatDemandPeriod is how often an unmet demand is told again.
	repeatDemandPeriod = endive.Interval(100 * time.Millisecond)
	// demandTimeout is how long an owner remembers a want that isn't repeated.
	demandTimeout = endive.Interval(time.Second)
	// firstLenders is how many owners are asked at first.
	firstLenders = 1
	// crossRegionHandicap is how much longer a request of another region has to have
	// waited, since a slot is unused on the way there and back.
	crossRegionHandicap = endive.Interval(400 * time.Millisecond)
	// busyWakePeriod and idleTick are the periods of the wake-ups.
	busyWakePeriod = endive.Interval(5 * time.Millisecond)
	idleWakePeriod = endive.Interval(100 * time.Millisecond)
	// pauseThreshold is the time between two steps that counts as a pause of the
	// process. It is shorter than the time after which peers count a silent entry
	// as suspect, less the period of heartbeats.
	pauseThreshold = endive.Interval(time.Second)
)
