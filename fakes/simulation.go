package fakes

import (
	"math/rand"
	"time"

	"google.golang.org/protobuf/proto"

	"endiveroute.example/endive"
)

// Simulation runs machines of several entries against one table in virtual time. All
// randomness comes from one seed. It uses no goroutines.
type Simulation struct {
	Rand  *rand.Rand
	Table *MemoryTable
	// Faults holds the probabilities of faults.
	Faults Faults
	// TableDown makes the table unavailable to all nodes.
	TableDown bool
	// HandleAction is called for each action that the simulation doesn't execute itself.
	HandleAction func(node *Node, action endive.Action)
	// After is called after each step of a machine, unless it is nil.
	After func()

	nodes  []*Node
	timers Timers
	now    time.Time
}

// Faults holds the probabilities of faults, in percent.
type Faults struct {
	// LostMessage and DuplicatedMessage apply to messages between entries.
	LostMessage, DuplicatedMessage int
	// LostResponse applies to transactions: the response is lost, and half of the
	// transactions are applied if the table can be reached.
	LostResponse int
	// Unavailable applies to transactions and reads, which the table then rejects.
	Unavailable int
	// Slow applies to messages and table operations, whose delay is then up to 8 s
	// instead of at most 60 ms.
	Slow int
}

// NewSimulation returns a simulation without nodes.
func NewSimulation(seed int64) *Simulation {
	return &Simulation{
		Rand:  rand.New(rand.NewSource(seed)),
		Table: NewMemoryTable(),
		now:   NewClock().Now(),
	}
}

// Now returns the simulation's time. Machines see only the clocks of their nodes.
func (g *Simulation) Now() time.Time { return g.now }

// Nodes returns the nodes in the order in which their ids were first started.
func (g *Simulation) Nodes() []*Node { return g.nodes }

// Start adds a node and wakes its machine. A node with the same id is marked as down and
// replaced.
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

// Run advances the simulation's time by duration and runs the functions due by then.
func (g *Simulation) Run(duration time.Duration) {
	end := g.now.Add(duration)
	for at, run, ok := g.timers.Next(end); ok; at, run, ok = g.timers.Next(end) {
		g.now = at
		run()
	}
	g.now = end
}

// At schedules run after a delay of simulated time.
func (g *Simulation) At(after time.Duration, run func()) {
	g.timers.Add(g.now.Add(after), run)
}

// randomPercent returns true with the given probability in percent.
func (g *Simulation) randomPercent(percent int) bool { return g.Rand.Intn(100) < percent }

// delay returns a random delay of a message or table operation.
func (g *Simulation) delay() time.Duration {
	if g.randomPercent(g.Faults.Slow) {
		return time.Duration(g.Rand.Intn(8000)) * time.Millisecond
	}
	return time.Duration(1+g.Rand.Intn(60)) * time.Millisecond
}

// send delivers a message to another node after a delay. Faults can lose or duplicate
// it.
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
