package proc

import (
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/stand/fault"
)

// planTasks is the number of tasks of the plans job: more than the workers can run
// at the same time.
const planTasks = 80

// quotingSlice is the slice whose holder the tests kill, pause or stop.
const quotingSlice endive.SliceID = "quoting.gogledd"

func plansJob(nonIdempotent bool) endive.Job {
	return endive.Job{
		Name: "plans", Tasks: planTasks, Region: "gogledd", RunTime: endive.Interval(time.Second), Payload: "run=1s",
		NonIdempotent: nonIdempotent,
	}
}

func seamWatchJob() endive.Job {
	return endive.Job{Name: "seam-watch", Kind: endive.KindWatcher, Tasks: 2, Region: "gogledd", Payload: "forever", Priority: endive.PriorityWatcher}
}

// checkWorkerInvariants checks that no task ran on two workers at the same time
// and that no worker exceeded its size, which must hold under any failure.
func (c *cluster) checkWorkerInvariants(is *is.I) {
	is.Helper()
	counts := c.platform.Counts(true).Workers
	for id, task := range counts.ByTask {
		if task.MostAtOnce > 1 {
			c.t.Errorf("task %s ran on %d workers at the same time: %v", id, task.MostAtOnce, task.Workers)
		}
	}
	is.Equal(counts.OverUsed, 0) // no worker used more than its size
	is.Equal(counts.OverSize, 0) // no command would have exceeded a worker's size
}

func TestHolderIsKilled(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startClusterWithPlans(t, seamWatchJob())
	holder := c.holder(quotingSlice, 0)
	c.signal(holder, syscall.SIGKILL)
	c.eventually("all plans ended", func() bool { return c.succeeded() >= planTasks })
	c.checkWorkerInvariants(is)
	counts := c.platform.Counts(false).Workers
	is.Equal(counts.Ends[endive.TaskSucceeded], planTasks)
	is.Equal(counts.Running, 2) // the two watcher tasks
}

// The holder is paused until its lease has expired and another entry has acquired
// the slice, and is then resumed.
func TestHolderIsPausedAndComesBack(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startClusterWithPlans(t)
	holder := c.holder(quotingSlice, 0)
	c.signal(holder, syscall.SIGSTOP)
	other := (holder + 1) % 3
	c.eventually("another entry acquired the slice", func() bool { return c.holder(quotingSlice, other) != holder })
	c.signal(holder, syscall.SIGCONT)
	c.eventually("all plans ended", func() bool { return c.succeeded() >= planTasks })
	c.checkWorkerInvariants(is)
	is.Equal(c.succeeded(), planTasks)
}

// A worker is unreachable while the holder is paused, until another entry has
// acquired the slice.
func TestWorkerIsCutOffWhileTheHolderIsPaused(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startClusterWithPlans(t)
	holder := c.holder(quotingSlice, 0)
	cut := fault.Fault{Part: fault.Worker, Instance: "quoting-1", Kind: fault.Cut}
	c.switchFault(cut, true)
	c.signal(holder, syscall.SIGSTOP)
	other := (holder + 1) % 3
	c.eventually("another entry acquired the slice", func() bool { return c.holder(quotingSlice, other) != holder })
	c.signal(holder, syscall.SIGCONT)
	c.switchFault(cut, false)
	c.eventually("all plans ended", func() bool { return c.succeeded() >= planTasks })
	c.checkWorkerInvariants(is)
}

// Non-idempotent tasks start at most once, even if their holder is killed.
func TestNonIdempotentTasksStartOnce(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t)
	c.applyFirstTicket()
	id := c.submit(plansJob(true), 0, 1, 2)
	c.eventually("some plans ended", func() bool { return c.succeeded() >= 5 })
	c.signal(c.holder(quotingSlice, 0), syscall.SIGKILL)
	alive := c.client(0, 1, 2)
	c.eventually("the job ended", func() bool {
		status, err := alive.Job(c.context(5*time.Second), id)
		return err == nil && status.Tasks.Waiting+status.Tasks.Running == 0
	})
	c.checkWorkerInvariants(is)
	for task, count := range c.platform.Counts(true).Workers.ByTask {
		if count.Starts > 1 {
			t.Errorf("task %s was started %d times", task, count.Starts)
		}
	}
}

// Running tasks continue during a long outage of the table service, and jobs
// accepted before it complete afterwards.
func TestTableServiceIsDown(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startCluster(t)
	c.applyFirstTicket()
	c.submit(seamWatchJob(), 0, 1, 2)
	c.submit(plansJob(false), 0, 1, 2)
	c.eventually("the watchers run", func() bool { return c.platform.Counts(false).Workers.Running >= 2 })
	c.switchFault(fault.Fault{Part: fault.Table, Kind: fault.Down}, true)
	<-time.After(12 * time.Second) // outage as long as three task leases or four slice leases
	before := c.platform.Counts(true).Workers
	for id, task := range before.ByTask {
		if task.Ends[endive.TaskStopped] > 0 {
			t.Errorf("task %s was stopped during the outage", id)
		}
	}
	c.switchFault(fault.Fault{Part: fault.Table, Kind: fault.Down}, false)
	c.eventually("all plans ended", func() bool { return c.succeeded() >= planTasks })
	c.checkWorkerInvariants(is)
	is.Equal(c.platform.Counts(false).Workers.Running, 2)      // the two watcher tasks
	is.Equal(c.platform.Counts(false).Workers.StartedAgain, 0) // no task was started twice
}

// In a planned stop the holder hands its slices over, and no running task is
// stopped.
func TestPlannedStopOfTheHolder(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	c := startClusterWithPlans(t, seamWatchJob())
	holder := c.holder(quotingSlice, 0)
	c.signal(holder, syscall.SIGTERM)
	is.NoErr(<-c.entries[holder].exited) // exit status 0
	c.eventually("all plans ended", func() bool { return c.succeeded() >= planTasks })
	c.checkWorkerInvariants(is)
	is.Equal(c.platform.Counts(false).Workers.StartedAgain, 0)
	is.Equal(c.platform.Counts(false).Workers.Running, 2) // the two watcher tasks
}
