package place

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/rows"
)

func TestWatchersSurviveAStoreOutage(t *testing.T) {
	is := is.New(t)
	c, _ := startCluster(cores(8), cores(8), cores(8))
	watch := endive.Job{ID: "watch", Name: "watch", Team: "a", Kind: endive.KindWatcher, Tasks: 3, Need: cores(1)}
	c.submit(watch)
	c.submit(testJob("batch", cores(1), 0))
	setRunTimes(c, map[endive.JobName]time.Duration{"watch": 24 * time.Hour, "batch": time.Hour}, endive.TaskSucceeded)
	c.run(5 * time.Second)
	racks := c.holder.machine.jobs["watch"].racks
	is.Equal(len(racks), 3) // one task on each rack
	c.storeDown = true
	c.run(100 * time.Second)
	is.Equal(c.running("batch"), 1) // renewed during OutageGrace
	c.run(time.Hour)
	is.Equal(c.running("batch"), 0) // not renewed after OutageGrace, on which a new holder relies
	is.Equal(c.running("watch"), 3)
}

func TestTasksOfADeadWorkerRunElsewhere(t *testing.T) {
	is := is.New(t)
	c, _ := startCluster(cores(8))
	setRunTimes(c, map[endive.JobName]time.Duration{"one": time.Hour}, endive.TaskSucceeded)
	c.submit(testJob("one", cores(1), 0))
	c.run(5 * time.Second)
	dead := c.workers[0]
	dead.cutOff = true
	next := newFakeWorker("w999", cores(8))
	c.workers = append(c.workers, next)
	c.byID[next.id] = next
	c.holder.step(c.members())
	c.run(15 * time.Second)
	is.Equal(len(next.running(c.now)), 0) // the lease on the dead worker may not have expired yet
	c.run(25 * time.Second)
	is.Equal(len(next.running(c.now)), 1)
	is.Equal(len(dead.running(c.now)), 0)
}

// TestIsolatedHolder checks a takeover from a holder that is cut off from the
// table. That holder keeps renewing tasks on the workers that it reaches, for
// OutageGrace. A new holder must not start these tasks before the grace is
// over, and must not hand the slice over before then either.
func TestIsolatedHolder(t *testing.T) {
	for _, handOver := range []bool{false, true} {
		t.Run(fmt.Sprint("hand over again: ", handOver), func(t *testing.T) {
			is := is.New(t)
			c, former := startCluster(cores(8))
			hour := map[endive.JobName]time.Duration{"one": time.Hour}
			setRunTimes(c, hour, endive.TaskSucceeded)
			c.submit(testJob("one", cores(1), 0))
			c.run(5 * time.Second)
			former.storeCutOff, c.workers[0].onlyReachableBy = true, former
			other := newFakeWorker("w999", cores(8))
			c.workers = append(c.workers, other)
			c.byID[other.id] = other
			setRunTimes(c, hour, endive.TaskSucceeded)
			c.run(11 * time.Second)
			next := c.join()
			is.True(c.acquire(next, false))
			c.run(20 * time.Second)
			if handOver {
				next.step(HandOver{})
				c.run(10 * time.Second)
				is.True(!next.released) // the next holder would not wait for the end of the grace
			}
			for range 400 {
				c.run(time.Second)
				is.True(c.running("one") <= 1)
			}
			is.Equal(next.released, handOver)
			is.Equal(len(other.running(c.now)) == 1, !handOver)
		})
	}
}

func TestHandOverAwaitsAnswers(t *testing.T) {
	is := is.New(t)
	c, e := startCluster(cores(8))
	c.submit(testJob("one", cores(1), 0))
	w := e.machine.workers.list[0]
	for w.pending == nil {
		c.run(time.Millisecond)
	}
	e.step(HandOver{})
	is.True(!e.released)
	c.run(time.Second)
	is.True(e.released)
}

func TestQuotaBoundsAllSlices(t *testing.T) {
	is := is.New(t)
	c := newCluster(1, cores(8))
	c.team = endive.Team{Name: "a", Quota: cores(4)}
	e := c.join()
	many := endive.Job{ID: "many", Name: "many", Team: "a", Tasks: 5, Need: cores(1)}
	setRunTimes(c, map[endive.JobName]time.Duration{"many": time.Hour}, endive.TaskSucceeded)
	other := func(n int) {
		body, err := json.Marshal(rows.Usage{Teams: map[endive.TeamName]endive.Resources{"a": cores(n)}})
		is.NoErr(err)
		c.table.commit(endive.Transaction{Writes: []endive.Write{{Key: rows.UsageKey("q.r"), Value: body}}})
	}
	other(3)
	c.acquire(e, false)
	c.run(3 * time.Second)
	c.submit(many)
	c.run(5 * time.Second)
	is.Equal(c.running("many"), 1)
	other(0)
	c.run(5 * time.Second)
	is.Equal(c.running("many"), 4)
	var mine rows.Usage
	is.NoErr(json.Unmarshal(c.table.rows[rows.UsageKey(testSlice.ID)].Value, &mine))
	is.Equal(mine.Teams["a"], cores(4))
}

func TestHandOverWaitsForNoLease(t *testing.T) {
	is := is.New(t)
	c, e := startCluster(cores(8))
	c.submit(testJob("one", cores(1), 0))
	c.run(5 * time.Second)
	e.step(HandOver{})
	c.run(time.Second)
	is.True(e.released)
	next := c.join()
	is.True(c.acquire(next, true))
	c.submit(testJob("two", cores(1), 0))
	c.run(time.Second)
	is.Equal(c.running("one"), 1) // runs on without interruption
	is.Equal(c.running("two"), 1) // starts without waiting for leases to expire
	is.Equal(e.machine.Step(c.now, endive.Wake{}), nil)
}

// TestTakeoverHearsOfTwoAttempts checks that only one attempt of a task counts
// as current after a takeover. The previous holder had started the retry before
// it recorded the end of the first attempt, so the new holder gets reports of
// both attempts.
func TestTakeoverHearsOfTwoAttempts(t *testing.T) {
	is := is.New(t)
	for seed := range int64(20) { // different seeds change the order of the answers
		c := newCluster(seed, cores(8), cores(8))
		c.submit(testJob("one", cores(1), 0))
		for i, state := range []endive.TaskState{endive.TaskFailed, endive.TaskRunning} {
			id := endive.AttemptID(fmt.Sprint("one.0@0.", i))
			c.workers[i].stopTime = 3 * time.Second
			c.workers[i].tasks[id] = &fakeTask{
				report: endive.TaskReport{Task: "one.0", Attempt: id, State: state, Need: cores(1)},
				lease:  c.now.Add(15 * time.Second), endsAt: c.now.Add(time.Minute), end: endive.TaskSucceeded,
			}
		}
		c.acquire(c.join(), false)
		for range 100 {
			c.run(100 * time.Millisecond)
			is.Equal(c.running("one"), 1)
		}
	}
}

// TestSameEpochAgain checks an entry that loses the lease and acquires it again
// under the same epoch: attempt ids and command sequences must not repeat, or
// the worker would refuse the commands.
func TestSameEpochAgain(t *testing.T) {
	is := is.New(t)
	c, e := startCluster(cores(8))
	c.submit(testJob("one", cores(1), 0))
	c.run(2 * time.Minute)
	lease := e.machine.lease
	c.holder = nil // no renewals
	e.step(endive.LeaseChanged{Slice: testSlice})
	c.run(time.Second)
	is.True(!e.machine.active) // no task is left to renew
	c.holder = e
	lease.ExpiresAt = c.now.Add(time.Hour)
	e.step(lease)
	c.submit(testJob("two", cores(1), 0))
	c.run(3 * time.Second)
	is.Equal(c.running("two"), 1)
}
