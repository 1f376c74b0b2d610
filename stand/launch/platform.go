package launch

import (
	"math/rand/v2"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/stand/admin"
	"endiveroute.example/endive/stand/blobs"
	"endiveroute.example/endive/stand/cell"
	"endiveroute.example/endive/stand/execs"
	"endiveroute.example/endive/stand/fault"
	"endiveroute.example/endive/stand/fleet"
	"endiveroute.example/endive/stand/rows"
	"endiveroute.example/endive/stand/runner"
	"endiveroute.example/endive/stand/serve"
)

// Platform runs the simulated services, workers and executors of one cell.
type Platform struct {
	cell   cell.Cell
	clock  endive.Clock
	random *rand.Rand

	faults      *fault.Set
	table       *rows.Table
	objects     *blobs.Store
	instances   *fleet.List
	journal     *runner.Journal
	runCounter  *execs.RunCounter
	workers     []*runner.Worker
	workerGroup *runner.Group

	executors map[endive.ExecutorID]executorServer
	servers   []*serve.Server
	addresses Addresses
}

// executorServer is a simulated executor with its server.
type executorServer struct {
	*execs.Executor
	server *serve.Server
}

// New starts the simulated services of a cell on the given addresses.
func New(c cell.Cell, addresses Addresses, clock endive.Clock) (*Platform, error) {
	faults := fault.NewSet(c.Faults...)
	listTarget := fault.Target{Part: fault.Instances, Instance: string(fault.Instances), Region: c.Region}
	p := &Platform{
		cell:       c,
		clock:      clock,
		random:     rand.New(rand.NewPCG(c.Seed, 0)),
		faults:     faults,
		table:      rows.New(clock, c.Table),
		objects:    blobs.New(),
		instances:  fleet.New(clock, faults, listTarget),
		journal:    runner.NewJournal(),
		runCounter: execs.NewRunCounter(),
		executors:  make(map[endive.ExecutorID]executorServer),
		addresses: Addresses{
			Workers:   make(map[endive.WorkerID]endive.Address),
			Executors: make(map[endive.ExecutorID]endive.Address),
		},
	}
	if err := p.start(addresses); err != nil {
		p.Close(clock.Now())
		return nil, err
	}
	return p, nil
}

// Addresses returns the addresses on which the simulated services listen.
func (p *Platform) Addresses() Addresses { return p.addresses }

// Faults returns the faults that are switched on.
func (p *Platform) Faults() *fault.Set { return p.faults }

// Counts implements admin.Counter.
func (p *Platform) Counts(detail bool) admin.Counts {
	counts := admin.Counts{
		Table:     p.table.Counts(),
		Objects:   p.objects.Counts(),
		ListReads: p.instances.Reads(),
		Workers:   p.journal.Counts(detail),
		Services:  p.runCounter.Counts(detail),
		Parts:     make(map[fault.Part]serve.Counts),
		Executors: make(map[endive.ExecutorID]execs.ExecutorCounts, len(p.executors)),
	}
	for _, s := range p.servers {
		if part := s.Target().Part; part != "" {
			counts.Parts[part] = counts.Parts[part].Add(s.Counts())
		}
	}
	for id, e := range p.executors {
		count, conns := e.Counts(), e.server.Counts()
		count.MostConnections, count.OverLimit = conns.MostConnections, conns.OverLimit
		counts.Executors[id] = count
	}
	return counts
}

// Remove removes an instance from the instance list.
func (p *Platform) Remove(id string) { p.instances.Remove(id) }

// Close stops the simulated services. Requests in flight may continue until the
// deadline.
func (p *Platform) Close(deadline time.Time) {
	for _, s := range p.servers {
		_ = s.Close(deadline)
	}
	if p.workerGroup != nil {
		p.workerGroup.Close()
	}
}
