package flow

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// Queues of a pool with accelerators: gangs whose questions are long and of whose workers
// few are good, and wide steps of small tasks that come after them.
var (
	gangs = endive.Queue{
		Name: "gangs", Pool: testPool, Rank: 1, MaxAttempts: 3, SlackFactor: 2.2, Grace: endive.Interval(1200 * time.Millisecond),
		Advice: endive.AdvicePolicy{
			Base: endive.Interval(490 * time.Millisecond), PerWorker: endive.Interval(7 * time.Millisecond), Validity: endive.Interval(2 * time.Second),
		},
	}
	wides = endive.Queue{
		Name: "wides", Pool: testPool, Rank: 2, MaxAttempts: 3, SlackFactor: 4, Grace: endive.Interval(3 * time.Second),
		Advice: endive.AdvicePolicy{
			Base: endive.Interval(160 * time.Millisecond), PerWorker: endive.Interval(2300 * time.Microsecond), Validity: endive.Interval(2 * time.Second),
		},
	}
)

// crowd is a load on a pool with accelerators.
type crowd struct {
	world   *world
	workers int
	// owed are the workflows of a queue that should have come by now.
	owed  map[endive.QueueName]float64
	begun map[endive.JobID]time.Time
	ended map[endive.JobID]time.Time
	// use are readings of the share of the accelerators that is in use.
	use []float64
}

const (
	// spreadOf is one of how many wide steps may have few tasks on a worker only.
	spreadOf              = 8
	acceleratorsPerWorker = 8
	meanGangMembers       = 4
	gangTakes             = 3600 * time.Millisecond
	wideTasks             = 16
	wideTakes             = 3 * time.Second
)

// newCrowd returns a load on as many workers as there are.
func newCrowd(w *world, workers int) *crowd {
	return &crowd{
		world: w, workers: workers, owed: make(map[endive.QueueName]float64),
		begun: make(map[endive.JobID]time.Time), ended: make(map[endive.JobID]time.Time),
	}
}

// play submits gangs and wide steps that each ask for a part of the accelerators, for so
// long.
func (c *crowd) play(gangLoad, wideLoad float64, lasts time.Duration) {
	const tick = 50 * time.Millisecond
	w, until := c.world, c.world.now.Add(lasts)
	total := float64(c.workers * acceleratorsPerWorker)
	gangWork := meanGangMembers * meanGangSize * gangTakes.Seconds()
	wideWork := wideTasks * wideTakes.Seconds()
	for w.now.Before(until) {
		c.owed[gangs.Name] += total * gangLoad / gangWork * tick.Seconds()
		c.owed[wides.Name] += total * wideLoad / wideWork * tick.Seconds()
		for ; c.owed[gangs.Name] >= 1; c.owed[gangs.Name]-- {
			c.submitGang()
		}
		for ; c.owed[wides.Name] >= 1; c.owed[wides.Name]-- {
			c.submitWide()
		}
		w.run(w.now.Add(tick).Sub(w.start))
		c.read()
		c.use = append(c.use, float64(w.inUse())/total)
	}
}

// gangSizes are the accelerators of a gang's member, and gangMembers the numbers of its
// members, in turn.
var (
	gangSizes   = []endive.Accelerators{2, 4, 8, 8}
	gangMembers = []int{2, 3, 4, 2, 9}
)

const meanGangSize = 5.5

func (c *crowd) submitGang() {
	n := len(c.begun)
	id := c.world.submit(fmt.Sprintf("gang%d", n), gangs, endive.Step{
		Tasks: gangMembers[n%len(gangMembers)], Gang: true, Checkpoints: true, Estimate: endive.Interval(gangTakes),
		Need: endive.Resources{Processors: 31000, Memory: 121 * endive.GiB, Accelerators: gangSizes[n%len(gangSizes)]},
	})
	// Estimates of gangs are off by far.
	c.world.jobs[id].stretch = math.Exp(0.6 * c.world.random.NormFloat64())
	c.begun[id] = c.world.now
}

func (c *crowd) submitWide() {
	step := endive.Step{
		Tasks: wideTasks, Checkpoints: true, Estimate: endive.Interval(wideTakes),
		Need: endive.Resources{Processors: 5600, Memory: 27 * endive.GiB, Accelerators: 1},
	}
	if c.world.random.Intn(spreadOf) == 0 {
		step.MaxPerWorker = 4
	}
	id := c.world.submit(fmt.Sprintf("wide%d", len(c.begun)), wides, step)
	c.begun[id] = c.world.now
}

// read notes which workflows have ended.
func (c *crowd) read() {
	for id := range c.begun {
		if _, ok := c.ended[id]; !ok && c.world.state(id).Ended() {
			c.ended[id] = c.world.now
		}
	}
}

// onTime returns which part of a queue's workflows ended within their objective, of those
// whose objective is over.
func (c *crowd) onTime(queue endive.Queue, takes time.Duration) float64 {
	met, due := 0.0, 0.0
	for id, begun := range c.begun {
		job := c.world.jobs[id]
		stretch := job.stretch
		if stretch == 0 {
			stretch = 1
		}
		objective := time.Duration(queue.SlackFactor*stretch*float64(takes)) + time.Duration(queue.Grace)
		if job.policy.Name != queue.Name || c.world.now.Before(begun.Add(objective)) {
			continue
		}
		due++
		if ended, ok := c.ended[id]; ok && !ended.After(begun.Add(objective)) {
			met++
		}
	}
	return met / due
}

// meanUse returns the mean share of accelerators in use.
func (c *crowd) meanUse() float64 {
	sum := 0.0
	for _, one := range c.use {
		sum += one
	}
	return sum / float64(len(c.use))
}

// crowdedWorld returns a pool with accelerators, and a load on it that is still to come.
func crowdedWorld(t *testing.T) (*world, *crowd) {
	const workers = 100
	w := newWorld(t, 1, faults{})
	w.goodShare = map[endive.QueueName]float64{gangs.Name: 0.3, wides.Name: 0.45}
	w.addLargeWorkers(workers)
	h := w.hold()
	w.addAdvisers(h, 20)
	w.run(time.Second)
	return w, newCrowd(w, workers)
}

// The load: a pool with accelerators whose questions are long, of whose workers few are
// good, and whose tickets last for two seconds, at and above what it can do. Most work is
// on time while it can be, and neither queue starves beyond that.
func TestCrowdedPool(t *testing.T) {
	tests := []struct {
		name             string
		gangLoad         float64
		wideLoad         float64
		gangMet, wideMet float64
	}{
		{"usual", 0.42, 0.28, 0.9, 0.9},
		{"full", 0.54, 0.36, 0.75, 0.75},
		{"beyond", 0.72, 0.48, 0.3, 0.3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w, c := crowdedWorld(t)
			c.play(tt.gangLoad, tt.wideLoad, 40*time.Second)
			w.holds()
			gang, wide := c.onTime(gangs, gangTakes), c.onTime(wides, wideTakes)
			t.Logf("gangs on time %.2f, wide steps %.2f, in use %.2f", gang, wide, c.meanUse())
			is.True(gang >= tt.gangMet)
			is.True(wide >= tt.wideMet)
		})
	}
}

// The load: a gang comes while all workers are busy. Those that become free aren't the
// ones that it asked about; it asks about others and starts.
func TestGangAsksAboutOtherWorkers(t *testing.T) {
	is := is.New(t)
	const workers, free = 120, 12
	w := newWorld(t, 1, faults{})
	w.goodShare = map[endive.QueueName]float64{gangs.Name: 0.5}
	w.addLargeWorkers(workers)
	h := w.hold()
	w.addAdvisers(h, 20)
	w.run(time.Second)
	for i := range workers {
		takes := time.Minute
		if i < free {
			takes = 5 * time.Second
		}
		busy := stepOfTasks(1, takes)
		busy.Need.Processors = 40000
		w.submit(fmt.Sprintf("busy%d", i), quick, busy)
	}
	w.run(2 * time.Second)
	id := w.submit("gang", gangs, endive.Step{
		Tasks: 2, Gang: true, Need: endive.Resources{Processors: 31000, Accelerators: 8}, Estimate: endive.Interval(time.Second),
	})
	w.run(12 * time.Second)
	w.holds()
	is.Equal(w.state(id), endive.WorkflowSucceeded)
}
