package place

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/fakes"
	"endiveroute.example/endive/rows"
)

const (
	sliceLease = 10 * time.Second
	leaseKey   = "leases/p.r"
	// maxEventsAtOnce bounds the events at one point in time, to detect endless
	// wake-ups.
	maxEventsAtOnce = 20000
)

var testSlice = endive.Slice{ID: "p.r", Pool: "p", Region: "r"}

// entry is a simulated entry process that may hold the slice.
type entry struct {
	c        *cluster
	machine  *Machine
	epoch    endive.Epoch
	leaseEnd time.Time
	// resumeAt is the end of a pause. Events of the pause are delayed until then.
	resumeAt      time.Time
	delayedEvents []endive.Event
	dead          bool
	released      bool
	// storeCutOff cuts the entry off from the table service.
	storeCutOff bool
	// samples records the run times of the steps in benchmarks.
	samples *samples
}

// cluster simulates machines, workers and a table service on a virtual clock,
// with faults.
type cluster struct {
	now      time.Time
	timers   fakes.Timers
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
	// Tests set storeDown to make the table unavailable, and faults to the
	// percentage of faulty messages.
	storeDown bool
	// unlisted is a worker that the instance list omits.
	unlisted  *fakeWorker
	faults    int
	decisions []endive.Decision
	// onAnswer receives Explanation and Listing actions.
	onAnswer func(endive.Action)
	// onStaleWrite is called when the table has applied a write of a previous
	// holder.
	onStaleWrite func()
	// afterStep checks invariants after each step of a machine.
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
	c.timers.Add(c.now.Add(d), do)
}

// run advances the simulated time.
func (c *cluster) run(d time.Duration) {
	end := c.now.Add(d)
	eventsNow := 0
	for at, do, ok := c.timers.Next(end); ok; at, do, ok = c.timers.Next(end) {
		eventsNow++
		if at.After(c.now) {
			c.now, eventsNow = at, 0
		}
		if eventsNow > maxEventsAtOnce {
			panic("too many events at one point in time: a machine requests endless wake-ups")
		}
		do()
	}
	c.now = end
}

// delay returns the delay of one message. A faulty message takes up to 1.9 s,
// others up to 20 ms.
func (c *cluster) delay() time.Duration {
	if c.fault() {
		return time.Duration(c.random.Intn(1900)) * time.Millisecond
	}
	return time.Duration(1+c.random.Intn(20)) * time.Millisecond
}

// fault draws a fault with the configured probability, rareFault one with a
// quarter of it.
func (c *cluster) fault() bool     { return c.faults > 0 && c.random.Intn(100) < c.faults }
func (c *cluster) rareFault() bool { return c.faults > 0 && c.random.Intn(400) < c.faults }

// join adds a new entry to the cluster.
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

// acquire gives the slice's lease to an entry, if the lease has expired or is
// handed over.
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

// renew renews the lease periodically, as long as the entry can reach the
// table.
func (c *cluster) renew(e *entry, epoch endive.Epoch) {
	if c.holder != e || e.epoch != epoch || e.dead || e.released {
		return
	}
	if !c.storeDown && !e.storeCutOff && !c.now.Before(e.resumeAt) && c.now.Before(c.leaseEnd) {
		c.grant(e, false)
	}
	c.schedule(sliceLease/3, func() { c.renew(e, epoch) })
}

// submit writes the row of an accepted job.
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

// ended returns the final status of a job, if it is recorded.
func (c *cluster) ended(id endive.JobID) (endive.JobStatus, bool) {
	var s endive.JobStatus
	row, ok := c.table.rows[rows.EndedKey(id)]
	if ok && json.Unmarshal(row.Value, &s) != nil {
		return s, false
	}
	return s, ok
}

// running counts the job's tasks that run on any worker.
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
