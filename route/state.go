package route

import (
	"sort"
	"time"

	"endiveroute.example/endive"
)

// buildState describes the queued and running requests and the executors.
func (m *Machine) buildState(now time.Time, tag string) State {
	state := State{Tag: tag}
	for _, s := range m.services {
		if s.config.Removed {
			continue
		}
		described := ServiceState{
			Service: s.config.Name, Waiting: s.queue.len(),
			ServiceTime: endive.Interval(seconds(s.times.mean)),
		}
		for _, x := range s.executors {
			one := m.executorState(now, x)
			state.Executors = append(state.Executors, one)
			described.Running += one.Running
			described.IdleSlots += one.FreeSlots
		}
		state.Services = append(state.Services, described)
	}
	sort.Slice(state.Services, func(i, j int) bool { return state.Services[i].Service < state.Services[j].Service })
	sort.Slice(state.Executors, func(i, j int) bool { return state.Executors[i].Executor < state.Executors[j].Executor })
	return state
}

// executorState describes one executor.
func (m *Machine) executorState(now time.Time, x *executor) ExecutorState {
	state := x.state
	if x.leaving || x.drained {
		state = endive.MemberLeaving
	}
	owner, lent := m.slots.Ownership(x.id)
	return ExecutorState{
		Executor: x.id, Service: x.service, State: state, Ejected: x.health.ejected,
		Running: x.busy, FreeSlots: m.slots.Free(now, x.id), FailureRate: x.health.rate,
		ServiceTime: endive.Interval(seconds(x.serviceTime)), Owner: owner, Lent: lent,
	}
}
