package route

import (
	"sort"
	"time"

	"endiveroute.example/endive"
)

// applyConfig applies a new configuration.
func (m *Machine) applyConfig(now time.Time, config endive.Config) {
	m.config = config
	for _, key := range config.Keys() {
		set := config.Resources[key].Service
		if set == nil {
			continue
		}
		s := m.services[set.Name]
		if s == nil {
			s = newService(*set, m.settings)
			m.services[set.Name] = s
		}
		s.config = *set
		if s.config.Removed {
			m.refuseWaiting(s, now)
		}
	}
	m.groupExecutors()
	m.dispatchAll(now)
}

// refuseWaiting refuses the queued requests of a service that was removed.
func (m *Machine) refuseWaiting(s *service, now time.Time) {
	for s.queue.len() > 0 {
		m.dequeue(s.queue.heap[0], "the service was removed", time.Time{})
	}
	m.updateDemand(now, s)
}

// applyMembers applies a new list of entries and executors.
func (m *Machine) applyMembers(now time.Time, view endive.MembersChanged) {
	m.self = view.Self
	m.entryCount = 0
	for _, p := range view.Peers {
		if p.State != endive.MemberGone {
			m.entryCount++
		}
	}
	share := m.settings.CrossBytesPerSecond / endive.Bytes(max(1, m.entryCount))
	m.crossRegionBudget.setRate(now, share)
	listed := make(map[endive.ExecutorID]bool)
	for _, e := range view.Endpoints {
		if e.Kind != endive.KindExecutor {
			continue
		}
		id := endive.ExecutorID(e.ID)
		listed[id] = true
		m.updateExecutor(id, e)
	}
	for id, x := range m.executors {
		if !listed[id] {
			x.state = endive.MemberGone
			delete(m.executors, id)
		}
	}
	m.groupExecutors()
	m.dispatchAll(now)
}

// updateExecutor updates one executor from the members list. An announced
// departure is only cleared when the executor becomes live again after the list
// had it as leaving.
func (m *Machine) updateExecutor(id endive.ExecutorID, e endive.Endpoint) {
	x := m.executors[id]
	if x == nil || x.service != e.Service {
		x = &executor{id: id, service: e.Service}
		m.executors[id] = x
	}
	x.address = e.Address
	x.distance = m.distance(e.Instance)
	if e.State == endive.MemberLive && x.state != endive.MemberLive {
		x.leaving = false
	}
	x.state = e.State
	if e.State == endive.MemberLeaving || e.Leaving {
		x.leaving = true
	}
}

// distance returns how far an instance is from this entry.
func (m *Machine) distance(i endive.Instance) endive.Distance {
	switch {
	case i.Region != m.self.Region:
		return endive.OtherRegion
	case i.Zone != m.self.Zone:
		return endive.SameRegion
	}
	return endive.SameZone
}

// groupExecutors assigns the executors to their services, sorted by id.
func (m *Machine) groupExecutors() {
	for _, s := range m.services {
		s.executors = nil
	}
	ids := make([]string, 0, len(m.executors))
	for id := range m.executors {
		ids = append(ids, string(id))
	}
	sort.Strings(ids)
	for _, id := range ids {
		x := m.executors[endive.ExecutorID(id)]
		x.drained = m.config.Drained(id)
		if s := m.services[x.service]; s != nil {
			s.executors = append(s.executors, x)
		}
	}
	for _, s := range m.services {
		m.markUsableSuspects(s)
	}
}

// markUsableSuspects keeps suspect executors of a service in use beyond the
// maximum share that may be unavailable.
func (m *Machine) markUsableSuspects(s *service) {
	quota := int(m.settings.MaxEjected * float64(len(s.executors)))
	for _, x := range s.executors {
		x.usableSuspect = false
		if x.state != endive.MemberSuspect {
			continue
		}
		if quota > 0 {
			quota--
			continue
		}
		x.usableSuspect = true
	}
}
