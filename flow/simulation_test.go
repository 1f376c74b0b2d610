package flow

import (
	"container/heap"
	"fmt"
	"math/rand"
	"sort"
	"testing"
	"time"

	"endiveroute.example/endive"
)

// simulation is a pool in virtual time: its workers, the store and one holder after the
// other. It checks at the workers what must always hold.
type simulation struct {
	t          *testing.T
	random     *rand.Rand
	faults     faults
	start      time.Time
	now        time.Time
	events     eventHeap
	eventCount int

	rows    map[string]endive.Row
	version endive.Version
	workers map[endive.WorkerID]*fakeWorker
	listed  []endive.FleetWorker
	holders []*holder
	epoch   endive.Epoch

	jobs map[endive.JobID]*fakeJob
	// succeeded are tasks whose success nobody may pass over; everSucceeded are all that ever
	// succeeded.
	succeeded     map[endive.TaskID]bool
	everSucceeded map[endive.TaskID]bool
	failures      map[endive.TaskID]int
	// successCount counts the runs that succeeded.
	successCount map[endive.TaskID]int
	violations   []string
	// trace has the decisions about tasks logged whose ids begin so.
	trace string
	// eventsAtOnce counts what happened at the present moment.
	eventsAtOnce int
	starts       int
	// eligibleShare is which part of the workers is good for a step of a queue; where it
	// isn't set, two thirds are.
	eligibleShare map[endive.QueueName]float64
	// adviceClients are until when each entry that asks the advice service is busy; empty
	// for as many entries as are needed.
	adviceClients []time.Time
	// loadDuration is how long the rows of a pool take to read; 0 for a store as usual.
	loadDuration time.Duration
	// handedOver is what the last holder gave to the next one.
	handedOver *PoolSnapshot
	// forwardsAdvice says that entries ask for advice about what they accept.
	forwardsAdvice bool
}

// faults are the chances, from 0 to 1, that something goes wrong with an order or a
// write.
type faults struct {
	lostOrder, lostAnswer, lateOrder      float64
	lostWrite, lostWriteAnswer, lateWrite float64
	failedTask, lostAdvice                float64
	// storePartitions has workers lose their way to the store and to the next holders.
	storePartitions bool
}

// fakeJob is what the world knows of a submission.
type fakeJob struct {
	workflow    endive.Workflow
	policy      endive.Queue
	cancelledAt time.Time
	// durationFactor is how many times their estimate the tasks take; 0 counts as 1.
	durationFactor float64
}

// timedEvent is something that happens at a time.
type timedEvent struct {
	at    time.Time
	order int
	do    func()
}

// eventHeap is a heap of what comes next.
type eventHeap []timedEvent

func (a eventHeap) Len() int      { return len(a) }
func (a eventHeap) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a eventHeap) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].order < a[j].order
}
func (a *eventHeap) Push(x any) { *a = append(*a, x.(timedEvent)) }
func (a *eventHeap) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// holder is one run of a machine, with the epoch that it began with.
type holder struct {
	sim     *simulation
	machine *Machine
	epoch   endive.Epoch
	// until is when the holder's process ends or stands still; it goes on at
	// wakes, if that is set.
	frozen   bool
	dead     bool
	deferred []endive.Event
	// stepTime is the time that the machine's steps took.
	stepTime time.Duration
	wakeAt   time.Time
}

// simulationClock shows the platform's time as milliseconds since the start.
type simulationClock struct{ start time.Time }

func (simulationClock) Known() bool { return true }
func (c simulationClock) AtLeast(at time.Time) endive.PlatformTime {
	return endive.PlatformTime(at.Sub(c.start).Milliseconds())
}
func (c simulationClock) Earliest(t endive.PlatformTime) time.Time {
	return c.start.Add(time.Duration(t) * time.Millisecond)
}

// maxEventsAtOnce is more than can happen at one moment of a test.
const maxEventsAtOnce = 5000

const (
	testPool          = endive.PoolName("quoting")
	testLeaseDuration = 4500 * time.Millisecond
	// testMaxLeaseDuration is what workers shorten leases to.
	testMaxLeaseDuration = 10 * time.Second
)

func newSimulation(t *testing.T, seed int64, f faults) *simulation {
	start := time.Unix(1_800_000_000, 0)
	return &simulation{
		t: t, random: rand.New(rand.NewSource(seed)), faults: f, start: start, now: start,
		rows: make(map[string]endive.Row), workers: make(map[endive.WorkerID]*fakeWorker),
		jobs: make(map[endive.JobID]*fakeJob), succeeded: make(map[endive.TaskID]bool), everSucceeded: make(map[endive.TaskID]bool), failures: make(map[endive.TaskID]int),
		successCount: make(map[endive.TaskID]int),
	}
}

// newSimulationWithHolder returns a world with some workers, of which a holder has heard.
func newSimulationWithHolder(t *testing.T, f faults, workers int) (*simulation, *holder) {
	w := newSimulation(t, 1, f)
	w.addWorkers(workers)
	h := w.startHolder()
	w.run(time.Second)
	return w, h
}

func (w *simulation) chance(p float64) bool { return w.random.Float64() < p }

func (w *simulation) addViolation(format string, args ...any) {
	w.violations = append(w.violations, fmt.Sprintf("%.3f s: ", w.now.Sub(w.start).Seconds())+fmt.Sprintf(format, args...))
}

// after makes an appointment.
func (w *simulation) after(d time.Duration, do func()) {
	w.eventCount++
	heap.Push(&w.events, timedEvent{at: w.now.Add(d), order: w.eventCount, do: do})
}

// run plays until a time after the start.
func (w *simulation) run(until time.Duration) {
	for len(w.events) > 0 {
		next := w.events[0]
		if next.at.Sub(w.start) > until {
			break
		}
		heap.Pop(&w.events)
		if next.at.Equal(w.now) {
			w.eventsAtOnce++
		} else {
			w.eventsAtOnce = 0
		}
		if w.eventsAtOnce > maxEventsAtOnce {
			w.t.Fatalf("%s: more than %d things happen at one moment: a machine wakes itself again and again", w.now.Sub(w.start), maxEventsAtOnce)
		}
		w.now = next.at
		next.do()
	}
	w.now = w.start.Add(until)
}

// addWorker adds a worker, and tells the holder of it.
func (w *simulation) addWorker(id string, capacity endive.Resources, labels ...endive.Label) *fakeWorker {
	worker := &fakeWorker{sim: w, id: endive.WorkerID(id)}
	worker.startIncarnation(capacity, labels)
	w.workers[worker.id] = worker
	w.publishWorkers()
	return worker
}

// publishWorkers tells the holders which workers there are.
func (w *simulation) publishWorkers() {
	w.listed = nil
	for _, worker := range w.workers {
		if !worker.unlisted {
			w.listed = append(w.listed, worker.info)
		}
	}
	sort.Slice(w.listed, func(i, j int) bool { return w.listed[i].ID < w.listed[j].ID })
	for _, h := range w.holders {
		h.send(w.workersListed())
	}
}

// workersListed returns what holders are told of the list.
func (w *simulation) workersListed() WorkersListed {
	return WorkersListed{Workers: append([]endive.FleetWorker(nil), w.listed...)}
}

// put writes a row as another process would.
func (w *simulation) put(key string, value any) {
	w.version++
	row := endive.Row{Key: key, Version: w.version, Value: encodeRow(value)}
	w.rows[key] = row
	for _, h := range w.holders {
		h.send(WorkChanged{Rows: []endive.Row{row}, Revision: endive.Revision(w.version)})
	}
}

// submit stores a workflow.
func (w *simulation) submit(id string, policy endive.Queue, steps ...endive.Step) endive.JobID {
	workflow := endive.Workflow{ID: endive.JobID(id), Queue: policy.Name, Steps: steps}
	w.jobs[workflow.ID] = &fakeJob{workflow: workflow, policy: policy}
	w.put(JobKey(testPool, workflow.ID), endive.Submission{
		Workflow: workflow, Policy: policy, Accepted: simulationClock{w.start}.AtLeast(w.now), Advised: w.forwardsAdvice,
	})
	return workflow.ID
}

// cancel asks for a workflow's cancelling.
func (w *simulation) cancel(id endive.JobID) {
	w.jobs[id].cancelledAt = w.now
	w.put(CancelKey(testPool, id), struct{}{})
}

// state returns the recorded state of a workflow.
func (w *simulation) state(id endive.JobID) endive.WorkflowState {
	row, ok := w.rows[StateKey(testPool, id)]
	if !ok {
		row, ok = w.rows[EndedKey(testPool, id)]
	}
	if !ok {
		return endive.WorkflowQueued
	}
	var p Progress
	if err := decodeRow(row.Value, &p); err != nil {
		w.t.Fatalf("the state of %s: %s", id, err)
	}
	return p.State
}

// startHolder begins a tenure of a new process.
func (w *simulation) startHolder() *holder {
	w.epoch++
	// Nobody takes a pool before the lease of the last holder has run out.
	for _, old := range w.holders {
		old.machine.tenure.leaseEnd = w.now
	}
	settings := Settings{
		LeaseDuration: endive.Interval(testLeaseDuration), MaxLeaseDuration: endive.Interval(testMaxLeaseDuration), Retention: endive.Interval(time.Minute),
	}
	ids := endive.NewWriteIDs("entry", endive.Incarnation(fmt.Sprint(w.epoch)), "flow")
	h := &holder{sim: w, machine: New(testPool, settings, simulationClock{w.start}, ids), epoch: w.epoch}
	w.holders = append(w.holders, h)
	w.version++
	fence := FenceWrite(testPool, w.epoch)
	w.rows[fence.Key] = endive.Row{Key: fence.Key, Version: w.version, Value: fence.Value}
	h.send(w.workersListed())
	h.send(TenureBegan{Epoch: w.epoch, FenceVersion: w.version, LeaseEnd: w.now.Add(time.Hour)})
	return h
}
