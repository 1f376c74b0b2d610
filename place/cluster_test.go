package place

import (
	"container/heap"
	"encoding/json"
	"fmt"
	"math/rand"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/rows"
)

const (
	sliceLease = 10 * time.Second
	leaseKey   = "leases/p.r"
	// maxEventsAtOnce bounds what happens at one moment.
	maxEventsAtOnce = 20000
)

var testSlice = endive.Slice{ID: "p.r", Pool: "p", Region: "r"}

// scheduledEvent is something that happens at a time.
type scheduledEvent struct {
	at  time.Time
	seq int
	do  func()
}

type eventHeap []scheduledEvent

func (d eventHeap) Len() int { return len(d) }
func (d eventHeap) Less(i, k int) bool {
	return d[i].at.Before(d[k].at) || d[i].at.Equal(d[k].at) && d[i].seq < d[k].seq
}
func (d eventHeap) Swap(i, k int) { d[i], d[k] = d[k], d[i] }
func (d *eventHeap) Push(x any)   { *d = append(*d, x.(scheduledEvent)) }
func (d *eventHeap) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]
	return last
}

// entry is one process that may hold the slice.
type entry struct {
	c        *cluster
	machine  *Machine
	epoch    endive.Epoch
	leaseEnd time.Time
	// resumeAt is when a pause ends; until then events wait.
	resumeAt      time.Time
	delayedEvents []endive.Event
	dead          bool
	released      bool
	// storeCutOff cuts the entry off from the table.
	storeCutOff bool
	// samples times the steps for benchmarks.
	samples *samples
}

// cluster runs machines, workers and a table on a virtual clock, with faults.
type cluster struct {
	now      time.Time
	events   eventHeap
	seq      int
	random   *rand.Rand
	table    *fakeTable
	workers  []*fakeWorker
	byID     map[endive.WorkerID]*fakeWorker
	entries  []*entry
	holder   *entry
	epoch    endive.Epoch
	leaseEnd time.Time
	pool     endive.Pool
	team     endive.Team
	// storeDown and faults (of 100 messages) are switched by tests.
	storeDown bool
	// unlisted is missing in the instance list.
	unlisted  *fakeWorker
	faults    int
	decisions []endive.Decision
	// onAnswer sees explanations and listings.
	onAnswer func(endive.Action)
	// onStaleWrite is called when a former holder has written to the table.
	onStaleWrite func()
	// afterStep checks what must hold after each step of a machine.
	afterStep func(e *entry)
}

func newCluster(seed int64, sizes ...endive.Resources) *cluster {
	c := &cluster{
		now:    time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC),
		random: rand.New(rand.NewSource(seed)),
		table:  newFakeTable(), byID: make(map[endive.WorkerID]*fakeWorker),
		pool: endive.Pool{Name: "p", Preemption: true},
	}
	for i, size := range sizes {
		w := newFakeWorker(endive.WorkerID(fmt.Sprintf("w%03d", i)), size)
		c.workers = append(c.workers, w)
		c.byID[w.id] = w
	}
	return c
}

func (c *cluster) schedule(d time.Duration, do func()) {
	c.seq++
	heap.Push(&c.events, scheduledEvent{at: c.now.Add(d), seq: c.seq, do: do})
}

// run lets the time pass.
func (c *cluster) run(d time.Duration) {
	end := c.now.Add(d)
	still := 0
	for len(c.events) > 0 && !c.events[0].at.After(end) {
		next := heap.Pop(&c.events).(scheduledEvent)
		still++
		if next.at.After(c.now) {
			c.now, still = next.at, 0
		}
		if still > maxEventsAtOnce {
			panic("the machines wake up without end")
		}
		next.do()
	}
	c.now = end
}

// delay is that of one message; few take long.
func (c *cluster) delay() time.Duration {
	if c.fault() {
		return time.Duration(c.random.Intn(1900)) * time.Millisecond
	}
	return time.Duration(1+c.random.Intn(20)) * time.Millisecond
}

// fault draws one fault of the usual frequency, rare one of a lower.
func (c *cluster) fault() bool     { return c.faults > 0 && c.random.Intn(100) < c.faults }
func (c *cluster) rareFault() bool { return c.faults > 0 && c.random.Intn(400) < c.faults }

// join starts an entry.
func (c *cluster) join() *entry {
	name := endive.EntryID(fmt.Sprintf("e%d", len(c.entries)))
	e := &entry{c: c}
	e.machine = New(testSlice, DefaultSettings(), BestFit{}, endive.NewWriteIDs(name, "1", "place"))
	c.entries = append(c.entries, e)
	config := endive.Config{Resources: map[endive.ResourceKey]endive.ConfiguredResource{
		c.pool.Key(): {Pool: &c.pool}, c.team.Key(): {Team: &c.team},
	}}
	e.step(endive.ConfigChanged{Config: config})
	e.step(c.members())
	return e
}

func (c *cluster) members() endive.MembersChanged {
	var view endive.MembersChanged
	for i, w := range c.workers {
		if w == c.unlisted {
			continue
		}
		view.Endpoints = append(view.Endpoints, endive.Endpoint{State: endive.MemberLive, Instance: endive.Instance{
			ID: string(w.id), Kind: endive.KindWorker, Address: endive.Address(w.id), Region: "r",
			Rack: endive.Rack(fmt.Sprint("rack", i%3)), Pool: "p", Size: w.size,
		}})
	}
	return view
}

// acquire gives the slice to an entry, if the lease is free or handed over.
func (c *cluster) acquire(e *entry, handed bool) bool {
	if c.storeDown || e.dead || c.now.Before(e.resumeAt) || !handed && c.now.Before(c.leaseEnd) {
		return false
	}
	c.epoch++
	c.table.commit(endive.Transaction{Writes: []endive.Write{{Key: leaseKey}}})
	c.holder, e.epoch, e.released = e, c.epoch, false
	c.grant(e, handed)
	c.schedule(sliceLease/3, func() { c.renew(e, e.epoch) })
	return true
}

func (c *cluster) grant(e *entry, handed bool) {
	c.leaseEnd = c.now.Add(sliceLease)
	e.leaseEnd = c.leaseEnd
	e.step(endive.LeaseChanged{
		Slice: testSlice, Held: true, Epoch: e.epoch, ExpiresAt: e.leaseEnd, AcquiredAt: c.now, HandedOver: handed,
		Fence: endive.Condition{Key: leaseKey, Version: c.table.version(leaseKey)},
	})
}

// renew renews the lease for as long as the entry can.
func (c *cluster) renew(e *entry, epoch endive.Epoch) {
	if c.holder != e || e.epoch != epoch || e.dead || e.released {
		return
	}
	if !c.storeDown && !e.storeCutOff && !c.now.Before(e.resumeAt) && c.now.Before(c.leaseEnd) {
		c.grant(e, false)
	}
	c.schedule(sliceLease/3, func() { c.renew(e, epoch) })
}

// submit records a job.
func (c *cluster) submit(j endive.Job) {
	j.Pool = "p"
	j.Defaults()
	body, err := json.Marshal(j)
	if err != nil {
		panic(err)
	}
	c.table.commit(endive.Transaction{Writes: []endive.Write{{Key: rows.JobKey(testSlice.ID, j.ID), Value: body}}})
}

func (c *cluster) cancel(id endive.JobID) {
	c.table.commit(endive.Transaction{Writes: []endive.Write{{Key: rows.CancelKey(testSlice.ID, id)}}})
}

// ended returns the recorded end of a job.
func (c *cluster) ended(id endive.JobID) (endive.JobStatus, bool) {
	var s endive.JobStatus
	row, ok := c.table.rows[rows.EndedKey(id)]
	if ok && json.Unmarshal(row.Value, &s) != nil {
		return s, false
	}
	return s, ok
}

// running counts the tasks at work of a job.
func (c *cluster) running(id endive.JobID) int {
	n := 0
	for _, w := range c.workers {
		for _, t := range w.running(c.now) {
			if job, _ := parseTask(t.report.Task); job == id {
				n++
			}
		}
	}
	return n
}
