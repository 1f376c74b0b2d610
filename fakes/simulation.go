package fakes

import (
	"container/heap"
	"math/rand"
	"time"

	"google.golang.org/protobuf/proto"

	"endiveroute.example/endive"
)

// Simulation runs machines of several entries against one table in virtual time. All
// that is random comes from one seed. It has no goroutines.
type Simulation struct {
	Rand  *rand.Rand
	Table *MemoryTable
	// Faults are the chances of what goes wrong.
	Faults Faults
	// TableDown says that the table answers nobody.
	TableDown bool
	// HandleAction is called for each action that the group doesn't carry out.
	HandleAction func(node *Node, action endive.Action)
	// After is called after each step of a machine.
	After func()

	nodes    []*Node
	timers   timerQueue
	now      time.Time
	sequence uint64
}

// Faults are chances in percent.
type Faults struct {
	// LostMessage and DuplicatedMessage are of messages between entries.
	LostMessage, DuplicatedMessage int
	// LostResponse is of transactions whose answer doesn't come: half of them were
	// written.
	LostResponse int
	// Unavailable is of transactions and reads that the table refuses.
	Unavailable int
	// Slow is of whatever takes seconds in place of milliseconds.
	Slow int
}

// NewSimulation returns a group without machines.
func NewSimulation(seed int64) *Simulation {
	return &Simulation{
		Rand:  rand.New(rand.NewSource(seed)),
		Table: NewMemoryTable(),
		now:   NewClock().Now(),
	}
}

// Now returns the true time, which no machine knows.
func (g *Simulation) Now() time.Time { return g.now }

// Nodes returns all nodes in the order in which they were started.
func (g *Simulation) Nodes() []*Node { return g.nodes }

// Start adds a node, or starts one anew that has the same id, and wakes it.
func (g *Simulation) Start(id endive.EntryID, incarnation endive.Incarnation, machine endive.Machine) *Node {
	n := &Node{
		ID: id, Incarnation: incarnation, Machine: machine, Up: true, simulation: g,
		startTime: g.now, clockRate: 0.99 + 0.02*g.Rand.Float64(),
	}
	replaced := false
	for i, old := range g.nodes {
		if old.ID == id {
			old.Up = false
			g.nodes[i] = n
			replaced = true
		}
	}
	if !replaced {
		g.nodes = append(g.nodes, n)
	}
	n.Deliver(0, endive.Wake{})
	return n
}

// Run carries out everything up to a time from now.
func (g *Simulation) Run(duration time.Duration) {
	end := g.now.Add(duration)
	for len(g.timers) > 0 && !g.timers[0].at.After(end) {
		next := heap.Pop(&g.timers).(*timer)
		g.now = next.at
		next.run()
	}
	g.now = end
}

// At runs a function after a while of true time.
func (g *Simulation) At(after time.Duration, run func()) {
	g.sequence++
	heap.Push(&g.timers, &timer{at: g.now.Add(after), sequence: g.sequence, run: run})
}

// randomPercent reports true in percent of the calls.
func (g *Simulation) randomPercent(percent int) bool { return g.Rand.Intn(100) < percent }

// delay returns how long something takes.
func (g *Simulation) delay() time.Duration {
	if g.randomPercent(g.Faults.Slow) {
		return time.Duration(g.Rand.Intn(8000)) * time.Millisecond
	}
	return time.Duration(1+g.Rand.Intn(60)) * time.Millisecond
}

// send carries a message to another node, or not.
func (g *Simulation) send(from *Node, s endive.Send) {
	copies := 1
	if g.randomPercent(g.Faults.DuplicatedMessage) {
		copies = 2
	}
	if g.randomPercent(g.Faults.LostMessage) {
		copies = 0
	}
	for range copies {
		message := proto.Clone(s.Message)
		g.At(g.delay(), func() {
			for _, to := range g.nodes {
				if to.ID == s.To && !from.unreachableFrom(to) {
					to.Deliver(0, endive.Received{From: from.ID, Incarnation: from.Incarnation, Message: message})
				}
			}
		})
	}
}
