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

// Platform is the running stand-ins of one cell.
type Platform struct {
	cell   cell.Cell
	clock  endive.Clock
	random *rand.Rand

	faults  *fault.Set
	table   *rows.Table
	objects *blobs.Store
	list    *fleet.List
	journal *runner.Journal
	ledger  *execs.RunCounter
	workers []*runner.Worker
	group   *runner.Group

	executors map[endive.ExecutorID]executor
	servers   []*serve.Server
	addresses Addresses
}

// executor is an executor with its server.
type executor struct {
	*execs.Executor
	server *serve.Server
}

// New starts the stand-ins of a cell at the given addresses.
func New(c cell.Cell, addresses Addresses, clock endive.Clock) (*Platform, error) {
	faults := fault.NewSet(c.Faults...)
	listTarget := fault.Target{Part: fault.Instances, Instance: string(fault.Instances), Region: c.Region}
	p := &Platform{
		cell:      c,
		clock:     clock,
		random:    rand.New(rand.NewPCG(c.Seed, 0)),
		faults:    faults,
		table:     rows.New(clock, c.Table),
		objects:   blobs.New(),
		list:      fleet.New(clock, faults, listTarget),
		journal:   runner.NewJournal(),
		ledger:    execs.NewRunCounter(),
		executors: make(map[endive.ExecutorID]executor),
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

// Addresses returns where the stand-ins listen.
func (p *Platform) Addresses() Addresses { return p.addresses }

// Faults returns the faults that are switched on.
func (p *Platform) Faults() *fault.Set { return p.faults }

// Counts implements admin.Counter.
func (p *Platform) Counts(detail bool) admin.Counts {
	counts := admin.Counts{
		Table:     p.table.Counts(),
		Objects:   p.objects.Counts(),
		ListReads: p.list.Reads(),
		Workers:   p.journal.Counts(detail),
		Services:  p.ledger.Counts(detail),
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

// Remove takes an instance off the instance list.
func (p *Platform) Remove(id string) { p.list.Remove(id) }

// Close ends the stand-ins. Requests under way may go on until the deadline.
func (p *Platform) Close(deadline time.Time) {
	for _, s := range p.servers {
		_ = s.Close(deadline)
	}
	if p.group != nil {
		p.group.Close()
	}
}
