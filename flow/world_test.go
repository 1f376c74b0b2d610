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

// world is a pool in virtual time: its workers, the store and one holder after the
// other. It checks at the workers what must always hold.
type world struct {
	t      *testing.T
	random *rand.Rand
	faults faults
	start  time.Time
	now    time.Time
	queue  appointments
	order  int

	rows    map[string]endive.Row
	version endive.Version
	workers map[endive.WorkerID]*fakeWorker
	listed  []endive.FleetWorker
	holders []*holder
	epoch   endive.Epoch

	jobs map[endive.JobID]*fakeJob
	// succeeded are tasks whose success nobody may pass over; done are all that ever
	// succeeded.
	succeeded map[endive.TaskID]bool
	done      map[endive.TaskID]bool
	failures  map[endive.TaskID]int
	// finished counts the runs that succeeded.
	finished map[endive.TaskID]int
	broken   []string
	// trace has the decisions about tasks logged whose ids begin so.
	trace string
	// atOnce counts what happened at the present moment.
	atOnce int
	starts int
	// goodShare is which part of the workers is good for a step of a queue; where it
	// isn't set, two thirds are.
	goodShare map[endive.QueueName]float64
	// advisers are until when each entry that asks the advice service is busy; empty
	// for as many entries as are needed.
	advisers []time.Time
	// loadTakes is how long the rows of a pool take to read; 0 for a store as usual.
	loadTakes time.Duration
	// given is what the last holder gave to the next one.
	given *PoolSnapshot
	// accepts says that entries ask for advice about what they accept.
	accepts bool
}

// faults are the chances, from 0 to 1, that something goes wrong with an order or a
// write.
type faults struct {
	lostOrder, lostAnswer, lateOrder      float64
	lostWrite, lostWriteAnswer, lateWrite float64
	failedTask, lostAdvice                float64
	// lostWays has workers lose their way to the store and to the next holders.
	lostWays bool
}

// fakeJob is what the world knows of a submission.
type fakeJob struct {
	workflow    endive.Workflow
	policy      endive.Queue
	cancelledAt time.Time
	// stretch is how many times their estimate the tasks take; 0 counts as 1.
	stretch float64
}

// appointment is something that happens at a time.
type appointment struct {
	at    time.Time
	order int
	do    func()
}

// appointments is a heap of what comes next.
type appointments []appointment

func (a appointments) Len() int      { return len(a) }
func (a appointments) Swap(i, j int) { a[i], a[j] = a[j], a[i] }
func (a appointments) Less(i, j int) bool {
	if !a[i].at.Equal(a[j].at) {
		return a[i].at.Before(a[j].at)
	}
	return a[i].order < a[j].order
}
func (a *appointments) Push(x any) { *a = append(*a, x.(appointment)) }
func (a *appointments) Pop() any {
	last := (*a)[len(*a)-1]
	*a = (*a)[:len(*a)-1]
	return last
}

// holder is one run of a machine, with the epoch that it began with.
type holder struct {
	world   *world
	machine *Machine
	epoch   endive.Epoch
	// until is when the holder's process ends or stands still; it goes on at
	// wakes, if that is set.
	frozen bool
	dead   bool
	later  []endive.Event
	// spent is the time that the machine's steps took.
	spent  time.Duration
	wakeAt time.Time
}

// worldClock shows the platform's time as milliseconds since the start.
type worldClock struct{ start time.Time }

func (worldClock) Known() bool { return true }
func (c worldClock) AtLeast(at time.Time) endive.PlatformTime {
	return endive.PlatformTime(at.Sub(c.start).Milliseconds())
}
func (c worldClock) Earliest(t endive.PlatformTime) time.Time {
	return c.start.Add(time.Duration(t) * time.Millisecond)
}

// maxAtOnce is more than can happen at one moment of a test.
const maxAtOnce = 5000

const (
	testPool  = endive.PoolName("quoting")
	testGrant = 4500 * time.Millisecond
	// testMaxGrant is what workers shorten leases to.
	testMaxGrant = 10 * time.Second
)

func newWorld(t *testing.T, seed int64, f faults) *world {
	start := time.Unix(1_800_000_000, 0)
	return &world{
		t: t, random: rand.New(rand.NewSource(seed)), faults: f, start: start, now: start,
		rows: make(map[string]endive.Row), workers: make(map[endive.WorkerID]*fakeWorker),
		jobs: make(map[endive.JobID]*fakeJob), succeeded: make(map[endive.TaskID]bool), done: make(map[endive.TaskID]bool), failures: make(map[endive.TaskID]int),
		finished: make(map[endive.TaskID]int),
	}
}

// heldWorld returns a world with some workers, of which a holder has heard.
func heldWorld(t *testing.T, f faults, workers int) (*world, *holder) {
	w := newWorld(t, 1, f)
	w.addWorkers(workers)
	h := w.hold()
	w.run(time.Second)
	return w, h
}

func (w *world) chance(p float64) bool { return w.random.Float64() < p }

func (w *world) breaks(format string, args ...any) {
	w.broken = append(w.broken, fmt.Sprintf("%.3f s: ", w.now.Sub(w.start).Seconds())+fmt.Sprintf(format, args...))
}

// after makes an appointment.
func (w *world) after(d time.Duration, do func()) {
	w.order++
	heap.Push(&w.queue, appointment{at: w.now.Add(d), order: w.order, do: do})
}

// run plays until a time after the start.
func (w *world) run(until time.Duration) {
	for len(w.queue) > 0 {
		next := w.queue[0]
		if next.at.Sub(w.start) > until {
			break
		}
		heap.Pop(&w.queue)
		if next.at.Equal(w.now) {
			w.atOnce++
		} else {
			w.atOnce = 0
		}
		if w.atOnce > maxAtOnce {
			w.t.Fatalf("%s: more than %d things happen at one moment: a machine wakes itself again and again", w.now.Sub(w.start), maxAtOnce)
		}
		w.now = next.at
		next.do()
	}
	w.now = w.start.Add(until)
}

// addWorker adds a worker, and tells the holder of it.
func (w *world) addWorker(id string, capacity endive.Resources, labels ...endive.Label) *fakeWorker {
	one := &fakeWorker{world: w, id: endive.WorkerID(id)}
	one.bear(capacity, labels)
	w.workers[one.id] = one
	w.list()
	return one
}

// list tells the holders which workers there are.
func (w *world) list() {
	w.listed = nil
	for _, one := range w.workers {
		if !one.unlisted {
			w.listed = append(w.listed, one.self)
		}
	}
	sort.Slice(w.listed, func(i, j int) bool { return w.listed[i].ID < w.listed[j].ID })
	for _, h := range w.holders {
		h.tell(w.seen())
	}
}

// seen returns what holders are told of the list.
func (w *world) seen() WorkersListed {
	return WorkersListed{Workers: append([]endive.FleetWorker(nil), w.listed...)}
}

// put writes a row as another process would.
func (w *world) put(key string, value any) {
	w.version++
	row := endive.Row{Key: key, Version: w.version, Value: encodeRow(value)}
	w.rows[key] = row
	for _, h := range w.holders {
		h.tell(WorkChanged{Rows: []endive.Row{row}, Revision: endive.Revision(w.version)})
	}
}

// submit stores a workflow.
func (w *world) submit(id string, policy endive.Queue, steps ...endive.Step) endive.JobID {
	workflow := endive.Workflow{ID: endive.JobID(id), Queue: policy.Name, Steps: steps}
	w.jobs[workflow.ID] = &fakeJob{workflow: workflow, policy: policy}
	w.put(JobKey(testPool, workflow.ID), endive.Submission{
		Workflow: workflow, Policy: policy, Accepted: worldClock{w.start}.AtLeast(w.now), Advised: w.accepts,
	})
	return workflow.ID
}

// cancel asks for a workflow's cancelling.
func (w *world) cancel(id endive.JobID) {
	w.jobs[id].cancelledAt = w.now
	w.put(CancelKey(testPool, id), struct{}{})
}

// state returns the recorded state of a workflow.
func (w *world) state(id endive.JobID) endive.WorkflowState {
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

// hold begins a tenure of a new process.
func (w *world) hold() *holder {
	w.epoch++
	// Nobody takes a pool before the lease of the last holder has run out.
	for _, old := range w.holders {
		old.machine.tenure.leaseEnd = w.now
	}
	settings := Settings{
		LeaseDuration: endive.Interval(testGrant), MaxLeaseDuration: endive.Interval(testMaxGrant), Retention: endive.Interval(time.Minute),
	}
	ids := endive.NewWriteIDs("entry", endive.Incarnation(fmt.Sprint(w.epoch)), "flow")
	h := &holder{world: w, machine: New(testPool, settings, worldClock{w.start}, ids), epoch: w.epoch}
	w.holders = append(w.holders, h)
	w.version++
	fence := FenceWrite(testPool, w.epoch)
	w.rows[fence.Key] = endive.Row{Key: fence.Key, Version: w.version, Value: fence.Value}
	h.tell(w.seen())
	h.tell(TenureBegan{Epoch: w.epoch, FenceVersion: w.version, LeaseEnd: w.now.Add(time.Hour)})
	return h
}
