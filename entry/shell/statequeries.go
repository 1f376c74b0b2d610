package shell

import (
	"context"
	"strconv"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
	"endiveroute.example/endive/lease"
	"endiveroute.example/endive/place"
	"endiveroute.example/endive/route"
)

// Entries implements serve.State.
func (s *Shell) Entries(context.Context) (apiv1.EntryList, error) {
	return apiv1.NewEntryList(s.self.ID, s.members.Load().Peers), nil
}

// Instances implements serve.State.
func (s *Shell) Instances(context.Context) (apiv1.InstanceList, error) {
	return apiv1.NewInstanceList(s.members.Load().Endpoints, *s.config.Load()), nil
}

// Workers implements serve.State. Only the holder of a slice knows the tasks
// and committed resources of its workers, so these are filled in for the slices
// held by this entry only.
func (s *Shell) Workers(ctx context.Context) (apiv1.WorkerList, error) {
	config := *s.config.Load()
	held := s.heldWorkers(ctx)
	list := apiv1.WorkerList{Workers: []apiv1.Worker{}}
	for _, e := range s.members.Load().Endpoints {
		if e.Kind != endive.KindWorker {
			continue
		}
		pool, _ := config.Pool(e.Pool)
		state := held[endive.WorkerID(e.ID)]
		list.Workers = append(list.Workers, apiv1.Worker{
			ID: endive.WorkerID(e.ID), Slice: endive.SliceOf(e.Instance, pool.Parts).ID, Pool: e.Pool,
			Region: e.Region, Zone: e.Zone, Rack: e.Rack, State: e.State, Size: e.Size,
			Committed: state.Committed, Tasks: state.Tasks, QuarantineReason: state.UnusableReason,
		})
	}
	return list, nil
}

// heldWorkers returns the state of the workers in the slices that this entry
// holds. It returns a partial result if ctx ends first.
func (s *Shell) heldWorkers(ctx context.Context) map[endive.WorkerID]place.WorkerState {
	s.mu.Lock()
	replies := make(chan []place.WorkerState, len(s.placers))
	requested := 0
	for _, p := range s.placers {
		if p.lease.Held {
			requested++
			p.role.inspect(func() { replies <- p.machine.WorkerStates() })
		}
	}
	s.mu.Unlock()
	held := make(map[endive.WorkerID]place.WorkerState)
	for range requested {
		select {
		case states := <-replies:
			for _, state := range states {
				held[state.Worker] = state
			}
		case <-ctx.Done():
			return held
		}
	}
	return held
}

// Slices implements serve.State.
func (s *Shell) Slices(context.Context) (apiv1.SliceList, error) {
	config, view := *s.config.Load(), s.members.Load()
	workers := make(map[endive.SliceID]int)
	for _, e := range view.Endpoints {
		if pool, ok := config.Pool(e.Pool); ok && e.Kind == endive.KindWorker {
			workers[endive.SliceOf(e.Instance, pool.Parts).ID]++
		}
	}
	list := apiv1.SliceList{Slices: []apiv1.Slice{}}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, slice := range endive.Slices(view.Endpoints, config) {
		shape := apiv1.Slice{ID: slice.ID, Pool: slice.Pool, Region: slice.Region, Workers: workers[slice.ID]}
		s.describeSlice(&shape, s.holders[slice.ID])
		list.Slices = append(list.Slices, shape)
	}
	return list, nil
}

// describeSlice fills in the holder, load and remaining lease of a slice. The
// caller must hold s.mu.
func (s *Shell) describeSlice(description *apiv1.Slice, holder lease.Holder) {
	description.Holder = holder.Entry
	description.Epoch = holder.Epoch
	if load, ok := s.loads.slices[description.ID]; ok {
		description.Queued = load.Queued
		description.Running = load.Running
		description.Free = load.Free
	}
	if p, ok := s.placers[description.ID]; ok && p.lease.Held {
		description.Remaining = endive.Interval(max(0, p.lease.ExpiresAt.Sub(s.clock.Now())))
	}
}

// Slots implements serve.State.
func (s *Shell) Slots(ctx context.Context) (apiv1.SlotList, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(stateTimeout))
	defer cancel()
	key := "snapshot/" + strconv.FormatUint(s.waiters.nextTag(), 10)
	answers := s.waiters.register(key)
	s.route.send(route.Snapshot{Tag: key})
	action, err := s.waiters.wait(ctx, key, answers)
	if err != nil {
		return apiv1.SlotList{}, err
	}
	endpoints := make(map[string]endive.Endpoint)
	for _, e := range s.members.Load().Endpoints {
		endpoints[e.ID] = e
	}
	config := *s.config.Load()
	list := apiv1.SlotList{Slots: []apiv1.Slots{}}
	for _, e := range action.(route.State).Executors {
		endpoint := endpoints[string(e.Executor)]
		service, _ := config.Service(e.Service)
		slots := apiv1.Slots{
			Executor: e.Executor, Service: e.Service, Region: endpoint.Region, Zone: endpoint.Zone, State: e.State,
			Owner: e.Owner, Slots: service.Slots, Held: e.Running + e.FreeSlots, Busy: e.Running, Lent: e.Lent,
		}
		if e.Ejected {
			slots.EjectionReason = "failed " + strconv.Itoa(int(100*e.FailureRate)) + "% of its attempts"
		}
		list.Slots = append(list.Slots, slots)
	}
	return list, nil
}
