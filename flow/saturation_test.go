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
	gangQueue = endive.Queue{
		Name: "gangs", Pool: testPool, Rank: 1, MaxAttempts: 3, SlackFactor: 2.2, Grace: endive.Interval(1200 * time.Millisecond),
		Advice: endive.AdvicePolicy{
			Base: endive.Interval(490 * time.Millisecond), PerWorker: endive.Interval(7 * time.Millisecond), Validity: endive.Interval(2 * time.Second),
		},
	}
	wideQueue = endive.Queue{
		Name: "wides", Pool: testPool, Rank: 2, MaxAttempts: 3, SlackFactor: 4, Grace: endive.Interval(3 * time.Second),
		Advice: endive.AdvicePolicy{
			Base: endive.Interval(160 * time.Millisecond), PerWorker: endive.Interval(2300 * time.Microsecond), Validity: endive.Interval(2 * time.Second),
		},
	}
)

// loadGenerator is a load on a pool with accelerators.
type loadGenerator struct {
	sim     *simulation
	workers int
	// due are the workflows of a queue that should have come by now.
	due         map[endive.QueueName]float64
	submittedAt map[endive.JobID]time.Time
	endedAt     map[endive.JobID]time.Time
	// utilization are readings of the share of the accelerators that is in use.
	utilization []float64
}

const (
	// perWorkerLimitEvery is one of how many wide steps may have few tasks on a worker only.
	perWorkerLimitEvery   = 8
	acceleratorsPerWorker = 8
	meanGangMembers       = 4
	gangDuration          = 3600 * time.Millisecond
	wideTasks             = 16
	wideDuration          = 3 * time.Second
)

// newLoadGenerator returns a load on as many workers as there are.
func newLoadGenerator(w *simulation, workers int) *loadGenerator {
	return &loadGenerator{
		sim: w, workers: workers, due: make(map[endive.QueueName]float64),
		submittedAt: make(map[endive.JobID]time.Time), endedAt: make(map[endive.JobID]time.Time),
	}
}

// run submits gangs and wide steps that each ask for a part of the accelerators, for so
// long.
func (c *loadGenerator) run(gangLoad, wideLoad float64, duration time.Duration) {
	const tick = 50 * time.Millisecond
	w, until := c.sim, c.sim.now.Add(duration)
	total := float64(c.workers * acceleratorsPerWorker)
	gangWork := meanGangMembers * meanGangSize * gangDuration.Seconds()
	wideWork := wideTasks * wideDuration.Seconds()
	for w.now.Before(until) {
		c.due[gangQueue.Name] += total * gangLoad / gangWork * tick.Seconds()
		c.due[wideQueue.Name] += total * wideLoad / wideWork * tick.Seconds()
		for ; c.due[gangQueue.Name] >= 1; c.due[gangQueue.Name]-- {
			c.submitGang()
		}
		for ; c.due[wideQueue.Name] >= 1; c.due[wideQueue.Name]-- {
			c.submitWide()
		}
		w.run(w.now.Add(tick).Sub(w.start))
		c.recordEnded()
		c.utilization = append(c.utilization, float64(w.acceleratorsInUse())/total)
	}
}

// gangSizes are the accelerators of a gang's member, and gangMembers the numbers of its
// members, in turn.
var (
	gangSizes   = []endive.Accelerators{2, 4, 8, 8}
	gangMembers = []int{2, 3, 4, 2, 9}
)

const meanGangSize = 5.5

func (c *loadGenerator) submitGang() {
	n := len(c.submittedAt)
	id := c.sim.submit(fmt.Sprintf("gang%d", n), gangQueue, endive.Step{
		Tasks: gangMembers[n%len(gangMembers)], Gang: true, Checkpoints: true, Estimate: endive.Interval(gangDuration),
		Need: endive.Resources{Processors: 31000, Memory: 121 * endive.GiB, Accelerators: gangSizes[n%len(gangSizes)]},
	})
	// Estimates of gangs are off by far.
	c.sim.jobs[id].durationFactor = math.Exp(0.6 * c.sim.random.NormFloat64())
	c.submittedAt[id] = c.sim.now
}

func (c *loadGenerator) submitWide() {
	step := endive.Step{
		Tasks: wideTasks, Checkpoints: true, Estimate: endive.Interval(wideDuration),
		Need: endive.Resources{Processors: 5600, Memory: 27 * endive.GiB, Accelerators: 1},
	}
	if c.sim.random.Intn(perWorkerLimitEvery) == 0 {
		step.MaxPerWorker = 4
	}
	id := c.sim.submit(fmt.Sprintf("wide%d", len(c.submittedAt)), wideQueue, step)
	c.submittedAt[id] = c.sim.now
}

// recordEnded notes which workflows have ended.
func (c *loadGenerator) recordEnded() {
	for id := range c.submittedAt {
		if _, ok := c.endedAt[id]; !ok && c.sim.state(id).Ended() {
			c.endedAt[id] = c.sim.now
		}
	}
}

// onTimeShare returns which part of a queue's workflows ended within their objective, of those
// whose objective is over.
func (c *loadGenerator) onTimeShare(queue endive.Queue, takes time.Duration) float64 {
	met, due := 0.0, 0.0
	for id, begun := range c.submittedAt {
		job := c.sim.jobs[id]
		stretch := job.durationFactor
		if stretch == 0 {
			stretch = 1
		}
		objective := time.Duration(queue.SlackFactor*stretch*float64(takes)) + time.Duration(queue.Grace)
		if job.policy.Name != queue.Name || c.sim.now.Before(begun.Add(objective)) {
			continue
		}
		due++
		if ended, ok := c.endedAt[id]; ok && !ended.After(begun.Add(objective)) {
			met++
		}
	}
	return met / due
}

// meanUtilization returns the mean share of accelerators in use.
func (c *loadGenerator) meanUtilization() float64 {
	sum := 0.0
	for _, share := range c.utilization {
		sum += share
	}
	return sum / float64(len(c.utilization))
}

// newSaturatedSimulation returns a pool with accelerators, and a load on it that is still to come.
func newSaturatedSimulation(t *testing.T) (*simulation, *loadGenerator) {
	const workers = 100
	w := newSimulation(t, 1, faults{})
	w.eligibleShare = map[endive.QueueName]float64{gangQueue.Name: 0.3, wideQueue.Name: 0.45}
	w.addLargeWorkers(workers)
	h := w.startHolder()
	w.addAdviceClients(h, 20)
	w.run(time.Second)
	return w, newLoadGenerator(w, workers)
}

// The load: a pool with accelerators whose questions are long, of whose workers few are
// good, and whose tickets last for two seconds, at and above what it can do. Most work is
// on time while it can be, and neither queue starves beyond that.
func TestSaturatedPool(t *testing.T) {
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
			w, c := newSaturatedSimulation(t)
			c.run(tt.gangLoad, tt.wideLoad, 40*time.Second)
			w.checkViolations()
			gang, wide := c.onTimeShare(gangQueue, gangDuration), c.onTimeShare(wideQueue, wideDuration)
			t.Logf("gangs on time %.2f, wide steps %.2f, in use %.2f", gang, wide, c.meanUtilization())
			is.True(gang >= tt.gangMet)
			is.True(wide >= tt.wideMet)
		})
	}
}

// The load: a gang comes while all workers are busy. Those that become free aren't the
// ones that it asked about; it asks about others and starts.
func TestGangRequestsAdviceOnOtherWorkers(t *testing.T) {
	is := is.New(t)
	const workers, free = 120, 12
	w := newSimulation(t, 1, faults{})
	w.eligibleShare = map[endive.QueueName]float64{gangQueue.Name: 0.5}
	w.addLargeWorkers(workers)
	h := w.startHolder()
	w.addAdviceClients(h, 20)
	w.run(time.Second)
	for i := range workers {
		takes := time.Minute
		if i < free {
			takes = 5 * time.Second
		}
		busy := stepOfTasks(1, takes)
		busy.Need.Processors = 40000
		w.submit(fmt.Sprintf("busy%d", i), urgentQueue, busy)
	}
	w.run(2 * time.Second)
	id := w.submit("gang", gangQueue, endive.Step{
		Tasks: 2, Gang: true, Need: endive.Resources{Processors: 31000, Accelerators: 8}, Estimate: endive.Interval(time.Second),
	})
	w.run(12 * time.Second)
	w.checkViolations()
	is.Equal(w.state(id), endive.WorkflowSucceeded)
}
