package flow

import (
	"fmt"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/quota"
	"endiveroute.example/endive/share"
	"endiveroute.example/endive/speed"
)

// holder is a process that holds the pool under one epoch.
type holder struct {
	sim     *simulation
	machine *Machine
	epoch   endive.Epoch
	// frozen is true while the process is suspended; deferred are the events that arrived
	// meanwhile.
	frozen   bool
	dead     bool
	deferred []endive.Event
	// stepTime is the sum of the run times of the machine's steps.
	stepTime time.Duration
	wakeAt   time.Time
	// jobDecisions are the machine's decisions about jobs.
	jobDecisions []Decision
	// endDecisions are the machine's decisions about ends of runs, and endOutcomes their numbers by outcome.
	endDecisions []Decision
	endOutcomes  map[string]int
	// workerDecisions counts the decisions about workers. startDecisions are the orders to start runs. settled is the reason of the decision that ended the takeover.
	workerDecisions int
	startDecisions  []Decision
	settled         string
	// noListUntil is until when the holder can't read the list of workers.
	noListUntil time.Time
	// lastListAt is when the last list of workers arrives.
	lastListAt time.Time
	// clockOffset is by how much the process's clock is ahead.
	clockOffset time.Duration
	// storeAway is true while the holder doesn't reach the store.
	storeAway bool
	// feedDelay is how late the holder learns of rows that others have written.
	feedDelay time.Duration
	// feedBlockedUntil is when the feed goes on that is late for once.
	feedBlockedUntil time.Time
}

// startHolder starts a new process that holds the pool under the next epoch.
func (w *simulation) startHolder() *holder {
	// No entry acquires a pool before the lease of the previous holder has expired.
	for _, old := range w.holders {
		old.machine.tenure.leaseEnd = w.now
	}
	return w.startHolderBefore(time.Time{})
}

// startHolderBefore starts a new process that holds the pool under the next epoch, while the previous holder may
// start tasks until previousLeaseEnd; zero if its lease has expired.
func (w *simulation) startHolderBefore(previousLeaseEnd time.Time) *holder {
	w.epoch = w.epoch.NextTenure()
	settings := Settings{
		LeaseDuration: endive.Interval(testLeaseDuration), MaxLeaseDuration: endive.Interval(testMaxLeaseDuration), Retention: endive.Interval(testRetention),
	}
	ids := endive.NewWriteIDs("entry", endive.Incarnation(fmt.Sprint(w.epoch)), "flow")
	h := &holder{sim: w, machine: New(testPool, settings, simulationClock{w.start.Add(w.clockOffset)}, ids, quota.NewStored(testPool, endive.NewWriteIDs("entry", endive.Incarnation(fmt.Sprint(w.epoch)), "quota"), 0.1), speed.NewByLabel(), share.NewRate()), epoch: w.epoch, endOutcomes: make(map[string]int), clockOffset: w.clockOffset}
	w.holders = append(w.holders, h)
	w.version++
	fence := FenceWrite(testPool, w.epoch)
	w.rows[fence.Key] = endive.Row{Key: fence.Key, Version: w.version, Value: fence.Value}
	h.send(w.workersListed())
	if w.renewals {
		w.reportRenewals(h)
	}
	h.send(AccountsChanged{Accounts: w.accounts, Pools: 1})
	h.send(TenureBegan{Epoch: w.epoch, FenceVersion: w.version, LeaseEnd: w.now.Add(time.Hour), PreviousLeaseEnd: previousLeaseEnd})
	w.after(feedWait, h.readFeed)
	return h
}
