package flow

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand"
	"sort"
	"strings"
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
	// goneAt is when workers disappeared from the list.
	goneAt  map[endive.WorkerID]time.Time
	holders []*holder
	epoch   endive.Epoch

	jobs map[endive.JobID]*fakeJob
	// succeeded are tasks whose success nobody may pass over; done are all that ever
	// succeeded.
	succeeded map[endive.TaskID]bool
	done      map[endive.TaskID]bool
	failures  map[endive.TaskID]int
	broken    []string
	// trace has the decisions about tasks logged whose ids begin so.
	trace string
	// atOnce counts what happened at the present moment.
	atOnce int
	starts int
	// accepts says that entries ask for advice about what they accept.
	accepts bool
}

// faults are the chances, from 0 to 1, that something goes wrong with an order or a
// write.
type faults struct {
	lostOrder, lostAnswer, lateOrder      float64
	lostWrite, lostWriteAnswer, lateWrite float64
	failedTask, lostAdvice                float64
}

// fakeJob is what the world knows of a submission.
type fakeJob struct {
	workflow    endive.Workflow
	policy      endive.Queue
	cancelledAt time.Time
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
		goneAt: make(map[endive.WorkerID]time.Time),
		jobs:   make(map[endive.JobID]*fakeJob), succeeded: make(map[endive.TaskID]bool), done: make(map[endive.TaskID]bool), failures: make(map[endive.TaskID]int),
	}
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
			delete(w.goneAt, one.id)
		} else if _, ok := w.goneAt[one.id]; !ok {
			w.goneAt[one.id] = w.now
		}
	}
	sort.Slice(w.listed, func(i, j int) bool { return w.listed[i].ID < w.listed[j].ID })
	for _, h := range w.holders {
		h.tell(w.seen())
	}
}

// seen returns what holders are told of the list.
func (w *world) seen() WorkersSeen {
	return WorkersSeen{Workers: append([]endive.FleetWorker(nil), w.listed...), Missing: maps.Clone(w.goneAt), KnownSince: w.start}
}

// put writes a row as another process would.
func (w *world) put(key string, value any) {
	w.version++
	row := endive.Row{Key: key, Version: w.version, Value: encode(value)}
	w.rows[key] = row
	for _, h := range w.holders {
		h.tell(WorkChanged{Rows: []endive.Row{row}})
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
	if _, ok := w.rows[StateKey(testPool, id)]; !ok {
		return endive.WorkflowQueued
	}
	var p Progress
	if err := decode(w.rows[StateKey(testPool, id)].Value, &p); err != nil {
		w.t.Fatalf("the state of %s: %s", id, err)
	}
	return p.State
}

// hold begins a tenure of a new process.
func (w *world) hold() *holder {
	w.epoch++
	// Nobody takes a pool before the lease of the last holder has run out.
	for _, old := range w.holders {
		old.machine.tenure.until = w.now
	}
	settings := Settings{
		Grant: endive.Interval(testGrant), MaxGrant: endive.Interval(testMaxGrant), Retention: endive.Interval(time.Minute),
	}
	ids := endive.NewWriteIDs("entry", endive.Incarnation(fmt.Sprint(w.epoch)), "flow")
	h := &holder{world: w, machine: New(testPool, settings, worldClock{w.start}, ids), epoch: w.epoch}
	w.holders = append(w.holders, h)
	w.version++
	fence := FenceWrite(testPool, w.epoch)
	w.rows[fence.Key] = endive.Row{Key: fence.Key, Version: w.version, Value: fence.Value}
	h.tell(w.seen())
	h.tell(TenureBegan{Epoch: w.epoch, FenceVersion: w.version, Until: w.now.Add(time.Hour)})
	return h
}

// kill ends a holder's process.
func (h *holder) kill() { h.dead = true }

// tell gives an event to the machine, after a moment.
func (h *holder) tell(event endive.Event) { h.world.after(time.Millisecond, func() { h.step(event) }) }

func (h *holder) step(event endive.Event) {
	if h.dead {
		return
	}
	if h.frozen {
		h.later = append(h.later, event)
		return
	}
	begin := time.Now()
	actions := h.machine.Step(h.world.now, event)
	h.spent += time.Since(begin)
	for _, action := range actions {
		h.perform(action)
	}
}

// freeze stops the process for a while, in which its lease runs out.
func (h *holder) freeze(d time.Duration) {
	h.frozen = true
	h.machine.tenure.until = h.world.now
	h.world.after(d, func() {
		h.frozen = false
		for _, event := range h.later {
			h.step(event)
		}
		h.later = nil
	})
}

func (h *holder) perform(action endive.Action) {
	w := h.world
	switch a := action.(type) {
	case Note:
		if w.trace != "" && (strings.HasPrefix(string(a.Task), w.trace) || a.Kind == NoteTenure || a.Kind == NoteWorker) {
			w.t.Logf("%.3f epoch %d %s %s %d on %s: %s (%s)", w.now.Sub(w.start).Seconds(), h.epoch, a.Kind, a.Task, a.Run, a.Worker, a.Outcome, a.Reason)
		}
	case endive.SetWake:
		at := a.At
		h.wakeAt = at
		w.after(max(0, at.Sub(w.now)), func() {
			if h.wakeAt.Equal(at) {
				h.step(endive.Wake{})
			}
		})
	case Load:
		w.after(10*time.Millisecond, func() { h.load(a.Epoch) })
	case Record:
		h.record(a.Transaction)
	case Ask:
		w.after(time.Duration(a.Cost), func() { h.advise(a) })
	case Start:
		w.deliver(h, a.Order.Worker.ID, func(one *fakeWorker) endive.OrderAnswer { return one.start(a.Order) },
			func(r OrderResult, answer endive.OrderAnswer) endive.Event {
				return Started{Worker: a.Order.Worker.ID, Task: a.Order.Task, Run: a.Order.Run, Result: r, Answer: answer}
			})
	case Stop:
		w.deliver(h, a.Order.Worker.ID, func(one *fakeWorker) endive.OrderAnswer { return one.stop(a.Order) },
			func(r OrderResult, answer endive.OrderAnswer) endive.Event {
				return Stopped{Worker: a.Order.Worker.ID, Task: a.Order.Task, Run: a.Order.Run, Result: r, Answer: answer}
			})
	case Hold:
		w.look(h, a.Order)
	}
}

// deliver carries out an order at a worker, with the faults of the world.
func (w *world) deliver(h *holder, id endive.WorkerID, do func(*fakeWorker) endive.OrderAnswer, answer func(OrderResult, endive.OrderAnswer) endive.Event) {
	const patience = 400 * time.Millisecond
	one := w.workers[id]
	way := one.way()
	switch {
	case one == nil || one.dark || w.chance(w.faults.lostOrder):
		w.after(patience, func() { h.step(answer(OrderUnknown, endive.OrderAnswer{})) })
	case w.chance(w.faults.lateOrder):
		w.after(patience, func() { h.step(answer(OrderUnknown, endive.OrderAnswer{})) })
		// What a worker carries out late, it doesn't carry out in another life.
		life := one.life
		w.after(2*time.Second+time.Duration(w.random.Int63n(int64(8*time.Second))), func() {
			if one.life == life {
				one.late = true
				do(one)
				one.late = false
			}
		})
	case w.chance(w.faults.lostAnswer):
		w.after(way, func() { do(one) })
		w.after(patience, func() { h.step(answer(OrderUnknown, endive.OrderAnswer{})) })
	default:
		w.after(way, func() {
			got := do(one)
			w.after(way, func() { h.step(answer(OrderAnswered, got)) })
		})
	}
}

// load reads the rows for a new tenure.
func (h *holder) load(epoch endive.Epoch) {
	loaded := Loaded{Epoch: epoch}
	keys := make([]string, 0, len(h.world.rows))
	for key := range h.world.rows {
		keys = append(keys, key)
	}
	sort.Strings(keys)
	for _, key := range keys {
		row := h.world.rows[key]
		switch {
		case strings.HasPrefix(key, WorkPrefix(testPool)):
			loaded.Work = append(loaded.Work, row)
		case strings.HasPrefix(key, StatePrefix(testPool)):
			loaded.States = append(loaded.States, row)
		case key == RosterKey(testPool):
			var roster Roster
			if err := decode(row.Value, &roster); err != nil {
				h.world.t.Fatal(err)
			}
			loaded.Roster = roster.Workers
		}
	}
	h.step(loaded)
}

// record carries a transaction out, with the faults of the world.
func (h *holder) record(txn endive.Transaction) {
	const way, patience = 4 * time.Millisecond, 300 * time.Millisecond
	w := h.world
	switch {
	case w.chance(w.faults.lostWrite):
		w.after(patience, func() { h.step(endive.Committed{WriteID: txn.WriteID, Status: endive.CommitUnknown}) })
	case w.chance(w.faults.lateWrite):
		w.after(time.Second+time.Duration(w.random.Int63n(int64(3*time.Second))), func() { w.apply(txn) })
		w.after(patience, func() { h.step(endive.Committed{WriteID: txn.WriteID, Status: endive.CommitUnknown}) })
	case w.chance(w.faults.lostWriteAnswer):
		w.after(way, func() { w.apply(txn) })
		w.after(patience, func() { h.step(endive.Committed{WriteID: txn.WriteID, Status: endive.CommitUnknown}) })
	default:
		w.after(way, func() {
			event := w.apply(txn)
			w.after(way, func() { h.step(event) })
		})
	}
}

// apply writes a transaction if its conditions hold.
func (w *world) apply(txn endive.Transaction) endive.Committed {
	event := endive.Committed{WriteID: txn.WriteID, Status: endive.CommitConflict}
	for _, one := range txn.Conditions {
		if row := w.rows[one.Key]; row.Version != one.Version {
			event.Conflicts = append(event.Conflicts, row)
		}
	}
	if len(event.Conflicts) > 0 {
		return event
	}
	w.version++
	event.Status = endive.CommitApplied
	for _, one := range txn.Writes {
		event.Result.Versions = append(event.Result.Versions, w.version)
		if one.Delete {
			delete(w.rows, one.Key)
			continue
		}
		w.rows[one.Key] = endive.Row{Key: one.Key, Version: w.version, Value: one.Value}
	}
	return event
}

// advise answers a question: two workers of three are good for a step.
func (h *holder) advise(a Ask) {
	if h.world.chance(h.world.faults.lostAdvice) {
		return
	}
	event := Advised{Step: a.Step, Asked: a.Workers, Cost: a.Cost, OK: true, Expiry: h.world.now.Add(2 * time.Second)}
	for _, id := range a.Workers {
		if (len(a.Step)+int(id[len(id)-1]))%3 != 0 {
			event.Good = append(event.Good, endive.AdviceGrant{Worker: id, Ticket: "ticket"})
		}
	}
	h.step(event)
}
