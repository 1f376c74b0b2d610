package launch

import (
	"math/rand/v2"

	"endiveroute.example/endive"
	"endiveroute.example/endive/stand/admin"
	"endiveroute.example/endive/stand/execs"
	"endiveroute.example/endive/stand/fault"
	"endiveroute.example/endive/stand/runner"
	"endiveroute.example/endive/stand/serve"
)

// start starts all simulated services. It starts the control listener last, so
// that once it answers, all other listeners do too.
func (p *Platform) start(addresses Addresses) error {
	for _, i := range p.cell.Instances() {
		if err := p.startInstance(i); err != nil {
			return err
		}
	}
	p.instances.ResetHistory()
	p.workerGroup = runner.NewGroup(p.workers)
	services := []struct {
		part    fault.Part
		handler serve.Handler
		listen  endive.Address
		chosen  *endive.Address
	}{
		{fault.Table, p.table, addresses.Table, &p.addresses.Table},
		{fault.Objects, p.objects, addresses.Objects, &p.addresses.Objects},
		{fault.Instances, p.instances, addresses.Instances, &p.addresses.Instances},
		{"", admin.New(p, p.faults, p.instances), addresses.Control, &p.addresses.Control},
	}
	for _, s := range services {
		target := fault.Target{Part: s.part, Instance: string(s.part), Region: p.cell.Region}
		server, err := p.serve(target, s.handler, s.listen, 0)
		if err != nil {
			return err
		}
		*s.chosen = server.Address()
	}
	return nil
}

// startInstance starts i if it is a worker or executor, and adds i to the instance
// list.
func (p *Platform) startInstance(i endive.Instance) error {
	target := fault.Target{Part: fault.Part(i.Kind), Instance: i.ID, Region: i.Region}
	var err error
	switch i.Kind {
	case endive.KindWorker:
		i.Address, err = p.startWorker(target, i.Size)
	case endive.KindExecutor:
		i.Address, err = p.startExecutor(target, i.Service)
	}
	if err != nil {
		return err
	}
	p.instances.Put(i)
	return nil
}

func (p *Platform) startWorker(target fault.Target, size endive.Resources) (endive.Address, error) {
	w := runner.NewWorker(target, size, p.faults, p.journal, p.clock)
	server, err := p.serve(target, w, loopbackAnyPort, 0)
	if err != nil {
		return "", err
	}
	p.workers = append(p.workers, w)
	p.addresses.Workers[endive.WorkerID(target.Instance)] = server.Address()
	return server.Address(), nil
}

func (p *Platform) startExecutor(target fault.Target, name endive.ServiceName) (endive.Address, error) {
	service := p.cell.Service(name)
	random := rand.New(rand.NewPCG(p.random.Uint64(), p.random.Uint64()))
	simulated := execs.NewExecutor(target, name, service.Slots, service.Mean, random, p.faults, p.runCounter)
	server, err := p.serve(target, simulated, loopbackAnyPort, service.Connections)
	if err != nil {
		return "", err
	}
	id := endive.ExecutorID(target.Instance)
	p.executors[id] = executorServer{simulated, server}
	p.addresses.Executors[id] = server.Address()
	return server.Address(), nil
}

func (p *Platform) serve(target fault.Target, handler serve.Handler, listen endive.Address, limit int) (*serve.Server, error) {
	server, err := serve.New(target, p.faults, handler, listen, limit)
	if err != nil {
		return nil, err
	}
	p.servers = append(p.servers, server)
	return server, nil
}
