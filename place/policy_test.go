package place

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

func testJob(id string, need endive.Resources, p endive.Priority) endive.Job {
	return endive.Job{
		ID: endive.JobID(id), Name: endive.JobName(id), Team: "a", Need: need, Priority: p,
		RunTime: endive.Interval(time.Minute),
	}
}

// setRunTimes sets the run times of tasks by job name. Tasks of other names run
// for a minute and end in the given state.
func setRunTimes(c *cluster, times map[endive.JobName]time.Duration, end endive.TaskState) {
	for _, w := range c.workers {
		w.plan = func(s endive.StartTask) (time.Duration, endive.TaskState) {
			if d, ok := times[s.JobName]; ok {
				return d, endive.TaskSucceeded
			}
			return time.Minute, end
		}
	}
}

func (c *cluster) explain(id endive.JobID) endive.JobStatus {
	var got endive.JobStatus
	c.onAnswer = func(a endive.Action) {
		if e, ok := a.(Explanation); ok {
			got = e.Status
		}
	}
	c.holder.step(ExplainJob{Job: id})
	return got
}

func (c *cluster) countDecisions(kind endive.DecisionKind) int {
	n := 0
	for _, d := range c.decisions {
		if d.Kind == kind {
			n++
		}
	}
	return n
}

func TestUrgentWorkPreempts(t *testing.T) {
	is := is.New(t)
	c, _ := startCluster(cores(8), cores(8))
	low := testJob("low", cores(4), endive.PriorityNormal)
	low.Tasks, low.Checkpoints = 4, true
	c.submit(low)
	c.run(3 * time.Second)
	c.submit(testJob("urgent", cores(6), endive.PriorityUrgent))
	c.run(5 * time.Second)
	is.Equal(c.running("urgent"), 1) // within 5 s, though the slice is full
	is.Equal(c.countDecisions(endive.DecisionPreempt), 2)
	c.run(5 * time.Minute)
	s, _ := c.ended("low")
	is.Equal(s.Succeeded, 4) // the preempted tasks were resumed
}

func TestUrgentGangPreemptsAllOrNothing(t *testing.T) {
	// A gang of 4 would need the capacity that the other urgent task uses.
	for tasks, preempted := range map[int]int{3: 6, 4: 0} {
		t.Run(fmt.Sprint(tasks), func(t *testing.T) {
			is := is.New(t)
			c, _ := startCluster(cores(8), cores(8))
			for _, w := range c.workers {
				w.stopTime = 2 * time.Second
			}
			low := testJob("low", cores(2), endive.PriorityNormal)
			low.Tasks = 6
			c.submit(testJob("keep", cores(4), endive.PriorityUrgent))
			c.submit(low)
			c.run(3 * time.Second)
			gang := testJob("gang", cores(4), endive.PriorityUrgent)
			gang.Kind, gang.Tasks = endive.KindGang, tasks
			c.submit(gang)
			c.run(5 * time.Second)
			is.Equal(c.running("gang"), preempted/2)
			is.Equal(c.countDecisions(endive.DecisionPreempt), preempted)
			is.Equal(c.running("keep"), 1)
		})
	}
}

func TestGangIsNotStarvedAndBackfilled(t *testing.T) {
	is := is.New(t)
	c, _ := startCluster(gpus(8), gpus(8))
	long := testJob("long", gpus(4), endive.PriorityNormal)
	long.RunTime = endive.Interval(2 * time.Minute)
	setRunTimes(c, map[endive.JobName]time.Duration{"long": 2 * time.Minute, "short": 20 * time.Second}, endive.TaskSucceeded)
	c.submit(long)
	c.run(2 * time.Second)
	gang := testJob("gang", gpus(4), endive.PriorityNormal)
	gang.Kind, gang.Tasks = endive.KindGang, 4
	c.submit(gang)
	c.run(2 * time.Second)
	for i := range 40 {
		c.submit(testJob(fmt.Sprint("stream", i), gpus(4), endive.PriorityNormal)) // declares a run time of 60 s
	}
	short := testJob("short", gpus(1), endive.PriorityNormal)
	short.RunTime = endive.Interval(20 * time.Second)
	c.submit(short)
	c.run(4 * time.Second)
	is.Equal(c.running("short"), 1) // backfilled: it ends before the gang is expected to start
	c.run(130 * time.Second)
	is.Equal(c.running("gang"), 4) // placed although single tasks would have fit earlier
}

// TestRetryGoesElsewhere checks that a job doesn't spend all of its attempts on
// one failing worker while other workers have free capacity. The worker is not
// quarantined in this case, because a quarantine needs failures of different
// jobs.
func TestRetryGoesElsewhere(t *testing.T) {
	is := is.New(t)
	c, _ := startCluster(cores(8), cores(8), cores(8))
	bad := c.workers[0]
	for _, w := range c.workers {
		w.plan = func(endive.StartTask) (time.Duration, endive.TaskState) {
			if w == bad {
				return time.Millisecond, endive.TaskFailed
			}
			return time.Second, endive.TaskSucceeded
		}
	}
	j := testJob("plans", cores(1), endive.PriorityNormal)
	j.Tasks, j.Attempts = 8, 3
	c.submit(j)
	c.run(10 * time.Minute)
	s, ok := c.ended("plans")
	is.True(ok)
	is.Equal(s.State, endive.JobSucceeded)
}

func TestQuarantine(t *testing.T) {
	is := is.New(t)
	c, e := startCluster(cores(8), cores(8), cores(8))
	bad := c.workers[0]
	for _, w := range c.workers {
		w.plan = func(s endive.StartTask) (time.Duration, endive.TaskState) {
			if s.JobName == "watch" {
				return 24 * time.Hour, endive.TaskSucceeded
			}
			if w == bad || s.JobName == "broken" {
				return time.Millisecond, endive.TaskFailed
			}
			return 30 * time.Second, endive.TaskSucceeded
		}
	}
	watch := testJob("watch", cores(1), endive.PriorityWatcher)
	watch.Kind, watch.Tasks = endive.KindWatcher, 3
	c.submit(watch)
	c.run(3 * time.Second)
	is.Equal(len(bad.tasks), 1) // running a watcher doesn't keep a worker from its trial
	for i := range 6 {
		j := testJob(fmt.Sprint("j", i), cores(1), endive.PriorityNormal)
		j.Tasks, j.Attempts = 4, 10
		c.submit(j)
	}
	broken := testJob("broken", cores(1), endive.PriorityNormal)
	c.submit(broken)
	c.run(30 * time.Minute)
	is.True(e.machine.workers.list[0].health.quarantines > 0)
	is.Equal(e.machine.workers.list[1].health.quarantines+e.machine.workers.list[2].health.quarantines, 0)
	s, ok := c.ended("broken")
	is.True(ok)
	is.Equal(s.State, endive.JobFailed) // fails on several workers, so it fails itself and no worker is quarantined
	for i := range 6 {
		s, ok := c.ended(endive.JobID(fmt.Sprint("j", i)))
		is.True(ok)
		is.Equal(s.State, endive.JobSucceeded)
	}
	bad.plan = func(endive.StartTask) (time.Duration, endive.TaskState) { return time.Second, endive.TaskSucceeded }
	c.run(2 * maxQuarantine)
	for range 3 {
		probe := testJob(fmt.Sprint("probe", len(c.table.rows)), cores(7), endive.PriorityNormal)
		probe.Tasks = 3
		c.submit(probe)
		c.run(time.Minute)
	}
	is.Equal(e.machine.workers.list[0].health.quarantines, 0) // successful tasks reset the worker's health
}

func TestPolicy(t *testing.T) {
	tests := []struct {
		name    string
		workers []endive.Resources
		team    endive.Resources
		jobs    []endive.Job
		after   time.Duration
		running map[endive.JobID]int
		reason  map[endive.JobID]string
	}{
		{
			name:    "higher priority first",
			workers: []endive.Resources{cores(1)},
			jobs:    []endive.Job{testJob("low", cores(1), 0), testJob("high", cores(1), 200)},
			running: map[endive.JobID]int{"low": 0, "high": 1},
			reason:  map[endive.JobID]string{"low": "no worker has enough free capacity now: 0 too small, 1 full, 0 not answering, 0 leaving or drained, 0 quarantined, 0 reserved for others"},
		},
		{
			name:    "an impossible job holds up nobody",
			workers: []endive.Resources{cores(4)},
			jobs:    []endive.Job{testJob("giant", cores(5), 300), testJob("small", cores(4), 0)},
			running: map[endive.JobID]int{"giant": 0, "small": 1},
			reason:  map[endive.JobID]string{"giant": "no worker of the slice has 5.0 processors, 5.0 GiB, 0 accelerators"},
		},
		{
			name:    "quota",
			workers: []endive.Resources{cores(8)},
			team:    cores(2),
			jobs:    []endive.Job{{ID: "many", Name: "many", Team: "a", Tasks: 5, Need: cores(1)}},
			running: map[endive.JobID]int{"many": 2},
			reason:  map[endive.JobID]string{"many": "team a is at its quota"},
		},
		{
			name:    "accelerators are kept while work for them waits",
			workers: []endive.Resources{gpus(1), cores(2)},
			jobs: []endive.Job{
				{ID: "plain", Name: "plain", Team: "a", Tasks: 9, Need: cores(1), Priority: 200},
				{ID: "gpu", Name: "gpu", Team: "b", Tasks: 2, Need: gpus(1)},
			},
			running: map[endive.JobID]int{"plain": 2, "gpu": 1},
		},
		{
			name:    "accelerator workers take plain work where none for them waits",
			workers: []endive.Resources{gpus(1), cores(2)},
			jobs:    []endive.Job{{ID: "plain", Name: "plain", Team: "a", Tasks: 9, Need: cores(1)}},
			running: map[endive.JobID]int{"plain": 9},
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			c := newCluster(1, tt.workers...)
			c.team = endive.Team{Name: "a", Quota: tt.team}
			e := c.join()
			for _, j := range tt.jobs {
				c.submit(j)
			}
			c.acquire(e, false)
			c.run(10 * time.Second)
			for id, want := range tt.running {
				is.Equal(c.running(id), want)
			}
			for id, want := range tt.reason {
				is.Equal(c.explain(id).Reason, want)
			}
		})
	}
}
