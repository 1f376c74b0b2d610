package flow

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// Queues of a pool with accelerators. gangQueue has gangs with slow advice requests and few
// eligible workers. wideQueue has steps of many small tasks with a lower rank.
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

// loadGenerator submits workflows to a pool with accelerators and records their results.
type loadGenerator struct {
	sim     *simulation
	workers int
	// due is the number of workflows of each queue that are due for submission.
	due         map[endive.QueueName]float64
	submittedAt map[endive.JobID]time.Time
	endedAt     map[endive.JobID]time.Time
	// utilization are samples of the share of the accelerators in use.
	utilization []float64
}

const (
	// perWorkerLimitEvery is how many wide steps there are, on average, for each one that
	// limits its tasks per worker.
	perWorkerLimitEvery   = 8
	acceleratorsPerWorker = 8
	meanGangMembers       = 4
	gangDuration          = 3600 * time.Millisecond
	wideTasks             = 16
	wideDuration          = 3 * time.Second
)

// newLoadGenerator returns a load generator for a pool with the given number of workers.
func newLoadGenerator(w *simulation, workers int) *loadGenerator {
	return &loadGenerator{
		sim: w, workers: workers, due: make(map[endive.QueueName]float64),
		submittedAt: make(map[endive.JobID]time.Time), endedAt: make(map[endive.JobID]time.Time),
	}
}

// run submits gangs and wide steps for the given duration. gangLoad and wideLoad are the
// shares of the accelerators that they need on average.
func (g *loadGenerator) run(gangLoad, wideLoad float64, duration time.Duration) {
	const tick = 50 * time.Millisecond
	w, until := g.sim, g.sim.now.Add(duration)
	total := float64(g.workers * acceleratorsPerWorker)
	gangWork := meanGangMembers * meanGangSize * gangDuration.Seconds()
	wideWork := wideTasks * wideDuration.Seconds()
	for w.now.Before(until) {
		g.due[gangQueue.Name] += total * gangLoad / gangWork * tick.Seconds()
		g.due[wideQueue.Name] += total * wideLoad / wideWork * tick.Seconds()
		for ; g.due[gangQueue.Name] >= 1; g.due[gangQueue.Name]-- {
			g.submitGang()
		}
		for ; g.due[wideQueue.Name] >= 1; g.due[wideQueue.Name]-- {
			g.submitWide()
		}
		w.run(w.now.Add(tick).Sub(w.start))
		g.recordEnded()
		g.utilization = append(g.utilization, float64(w.acceleratorsInUse())/total)
	}
}

// Successive gangs use gangSizes, the accelerators of each member, and gangMembers, the
// number of members, in turn.
var (
	gangSizes   = []endive.Accelerators{2, 4, 8, 8}
	gangMembers = []int{2, 3, 4, 2, 9}
)

const meanGangSize = 5.5

func (g *loadGenerator) submitGang() {
	n := len(g.submittedAt)
	id := g.sim.submit(fmt.Sprintf("gang%d", n), gangQueue, endive.Step{
		Tasks: gangMembers[n%len(gangMembers)], Gang: true, Checkpoints: true, Estimate: endive.Interval(gangDuration),
		Need: endive.Resources{Processors: 31000, Memory: 121 * endive.GiB, Accelerators: gangSizes[n%len(gangSizes)]},
	})
	// The estimates of gangs are wrong by a large factor.
	g.sim.jobs[id].durationFactor = math.Exp(0.6 * g.sim.random.NormFloat64())
	g.submittedAt[id] = g.sim.now
}

func (g *loadGenerator) submitWide() {
	step := endive.Step{
		Tasks: wideTasks, Checkpoints: true, Estimate: endive.Interval(wideDuration),
		Need: endive.Resources{Processors: 5600, Memory: 27 * endive.GiB, Accelerators: 1},
	}
	if g.sim.random.Intn(perWorkerLimitEvery) == 0 {
		step.MaxPerWorker = 4
	}
	id := g.sim.submit(fmt.Sprintf("wide%d", len(g.submittedAt)), wideQueue, step)
	g.submittedAt[id] = g.sim.now
}

// recordEnded records the end time of workflows that have ended since the last call.
func (g *loadGenerator) recordEnded() {
	for id := range g.submittedAt {
		if _, ok := g.endedAt[id]; !ok && g.sim.state(id).Ended() {
			g.endedAt[id] = g.sim.now
		}
	}
}

// onTimeShare returns the share of a queue's workflows that met their objective, among those
// whose objective has passed.
func (g *loadGenerator) onTimeShare(queue endive.Queue, duration time.Duration) float64 {
	met, due := 0.0, 0.0
	for id, submitted := range g.submittedAt {
		job := g.sim.jobs[id]
		factor := job.durationFactor
		if factor == 0 {
			factor = 1
		}
		objective := time.Duration(queue.SlackFactor*factor*float64(duration)) + time.Duration(queue.Grace)
		if job.policy.Name != queue.Name || g.sim.now.Before(submitted.Add(objective)) {
			continue
		}
		due++
		if ended, ok := g.endedAt[id]; ok && !ended.After(submitted.Add(objective)) {
			met++
		}
	}
	return met / due
}

// meanUtilization returns the mean share of the accelerators in use.
func (g *loadGenerator) meanUtilization() float64 {
	sum := 0.0
	for _, share := range g.utilization {
		sum += share
	}
	return sum / float64(len(g.utilization))
}

// newSaturatedSimulation returns a simulation of a pool with accelerators, and a load
// generator that hasn't submitted anything yet.
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

// A pool with accelerators, slow advice requests, few eligible workers and tickets that are
// valid for two seconds is loaded to its capacity and above. Most work must be on time while
// the capacity suffices, and neither queue may starve above that.
func TestSaturatedPool(t *testing.T) {
	tests := []struct {
		name                       string
		gangLoad                   float64
		wideLoad                   float64
		minGangShare, minWideShare float64
	}{
		{"usual load", 0.42, 0.28, 0.9, 0.9},
		{"full load", 0.54, 0.36, 0.75, 0.75},
		{"overload", 0.72, 0.48, 0.3, 0.3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w, g := newSaturatedSimulation(t)
			g.run(tt.gangLoad, tt.wideLoad, 40*time.Second)
			w.checkViolations()
			gang, wide := g.onTimeShare(gangQueue, gangDuration), g.onTimeShare(wideQueue, wideDuration)
			t.Logf("share on time: gangs %.2f, wide steps %.2f; accelerators in use %.2f", gang, wide, g.meanUtilization())
			is.True(gang >= tt.minGangShare)
			is.True(wide >= tt.minWideShare)
		})
	}
}

// A gang arrives while all workers are busy, and the workers that become free are not in the
// first advice request about the gang. The holder must request advice about further workers, so
// that the gang starts.
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
		duration := time.Minute
		if i < free {
			duration = 5 * time.Second
		}
		busy := stepOfTasks(1, duration)
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
