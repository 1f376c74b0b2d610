package flow

import (
	"flag"
	"fmt"
	"math/rand"
	"strings"
	"testing"
	"time"

	"endiveroute.example/endive"
)

// followTasks is the id prefix of the tasks whose decisions the fault test logs.
var followTasks = flag.String("follow", "", "log the decisions about tasks whose ids begin with this prefix")

// runningTasks returns the number of a workflow's runs on all workers.
func (w *simulation) runningTasks(id endive.JobID) int {
	count := 0
	for _, worker := range w.workers {
		for task := range worker.runs {
			if strings.HasPrefix(string(task), string(id)+".") {
				count++
			}
		}
	}
	return count
}

// Bursts of small jobs arrive beside large ones, gangs and long-running tasks, while orders,
// answers and writes are lost or late, workers restart and become unreachable, and the pool
// changes its holder. No invariant may be violated at any time, and all work must end after
// the faults have ended.
func TestInvariantsHoldUnderFaults(t *testing.T) {
	playSeeds(t, append(faultPlaySeeds(faultSeeds), regressionSeeds...), nil, func(t *testing.T, seed int64) *simulation {
		return playFaults(newSimulation(t, seed, drawFaults(seed)))
	})
}

// faultSeeds is the number of seeds that the fault test runs with, besides regressionSeeds.
const faultSeeds = 100

// regressionSeeds are seeds that once failed:
//
//	125, 213: a holder resumed after a freeze and repeated an order to start, to a worker
//	          that had restarted and had no epoch by which to refuse it
//	2364:     an order to start was repeated to a restarted worker, with a lease calculated
//	          from a clock that hadn't been read
//	208, 434, 652, 1462, 1870: a new holder received a task's failures in another order
//	          than they had happened in, and counted only one of them
//	2761:     an order to start reached a restarted worker with a lease by the clock of the
//	          previous incarnation, and then the worker was cut off
//	940, 1960: at the end of a takeover, the holder removed a worker that had restarted and
//	          then become unlisted, together with its runs
var regressionSeeds = []int64{125, 213, 2364, 208, 434, 652, 1462, 1870, 940, 1960, 2761}

// The same with workers that list only one to three ends in one answer: no list of ends is whole at once, at a takeover
// nor while the store is away.
func TestInvariantsHoldWithShortLists(t *testing.T) {
	playSeeds(t, faultPlaySeeds(shortListSeeds), nil, func(t *testing.T, seed int64) *simulation {
		w := newSimulation(t, seed, drawFaults(seed))
		w.shortLists = rand.New(rand.NewSource(seed))
		return playFaults(w)
	})
}

// The same with holders that are replaced while they live, and go on to start what they learn of. The feed of the next
// one lags.
func TestInvariantsHoldUnderEarlyTakeovers(t *testing.T) {
	playSeeds(t, faultPlaySeeds(earlyTakeoverSeeds), nil, func(t *testing.T, seed int64) *simulation {
		w := newSimulation(t, seed, drawFaults(seed))
		w.scansFirst, w.earlyTakeovers = true, rand.New(rand.NewSource(seed))
		return playFaults(w)
	})
}

// earlyTakeoverSeeds is the number of seeds that the fault test runs with early takeovers.
const earlyTakeoverSeeds = 80

// shortListSeeds is the number of seeds that the fault test runs with short lists of ends.
const shortListSeeds = 60

// playFaults runs 24 workflows while faults are injected, and checks that no invariant is violated
// and that all work ends after the faults.
func playFaults(w *simulation) *simulation {
	w.trace = *followTasks
	w.accounts = faultAccounts()
	w.addWorkers(6)
	current := w.startHolder()
	var ids []endive.JobID
	for i := range 24 {
		w.run(time.Second + time.Duration(i)*500*time.Millisecond)
		ids = append(ids, w.submitNth(i))
		if i%7 == 3 {
			w.cancel(ids[w.random.Intn(len(ids))])
		}
		w.injectFault(&current)
		w.takeOverEarly(&current)
	}
	w.faults = faults{}
	for _, worker := range w.workers {
		worker.unreachable, worker.unlisted, worker.unreachableFrom = false, false, 0
	}
	w.publishWorkers()
	w.run(60 * time.Second)
	w.checkViolations()
	for _, id := range ids {
		if state := w.state(id); !state.Ended() && !w.jobs[id].workflow.Steps[0].LongRunning {
			w.t.Errorf("workflow %s has not ended: its state is %s", id, state)
		}
	}
	return w
}

// faultAccounts returns two accounts: a's gang fits its cap only if little else runs, and b's
// gang exceeds its cap, but not with the overage and one task more.
func faultAccounts() endive.Accounts {
	accounts, _ := endive.NewAccounts([]endive.Account{
		{Name: "a", Cap: endive.Resources{Processors: 20_000}},
		{Name: "b", Cap: endive.Resources{Processors: 14_000, Accelerators: 2}},
	})
	return accounts
}

// submitNth submits a workflow whose kind depends on the number.
func (w *simulation) submitNth(i int) endive.JobID {
	id, account := fmt.Sprintf("job%d", i), []endive.AccountName{"", "a", "b"}[i/6%3]
	switch i % 6 {
	case 0:
		return w.submitFor(account, id, adviceQueue, stepOfTasks(5, 800*time.Millisecond), stepOfTasks(3, 600*time.Millisecond, 0))
	case 1:
		return w.submitFor(account, id, urgentQueue, endive.Step{
			Tasks: 2, Gang: true, Need: endive.Resources{Processors: 9000, Accelerators: 2}, Estimate: endive.Interval(1500 * time.Millisecond),
		})
	case 2:
		longRunning := stepOfTasks(2, time.Second)
		longRunning.LongRunning = true
		return w.submitFor(account, id, urgentQueue, longRunning)
	case 3:
		large := stepOfTasks(3, 2500*time.Millisecond)
		large.Need.Processors = 8000
		large.MaxPerWorker = 1
		return w.submitFor(account, id, adviceQueue, large)
	default:
		return w.submitFor(account, id, urgentQueue, stepOfTasks(6, 700*time.Millisecond), stepOfTasks(2, 400*time.Millisecond, 0), stepOfTasks(2, 400*time.Millisecond, 0, 1))
	}
}
