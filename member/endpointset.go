package member

import (
	"slices"
	"sort"
	"time"

	"endiveroute.example/endive"
)

// endpointSet holds the states of the known workers and executors, and a sorted
// list of them. There are more than a thousand endpoints, and most events
// change none of them, so the list is rebuilt only when it may have changed.
type endpointSet struct {
	states map[string]*endpointState
	view   endive.Endpoints
	// version counts the changes of view.
	version uint64
	// dirty is true if the view may be outdated because of an event.
	dirty bool
	// nextChangeAt is when the state of an endpoint next changes with time
	// alone. It is zero if no state changes with time alone.
	nextChangeAt time.Time
}

func newEndpointSet() *endpointSet {
	return &endpointSet{states: make(map[string]*endpointState), view: endive.Endpoints{}, version: 1}
}

// applyList updates the endpoints with a newly read instance list.
func (s *endpointSet) applyList(now time.Time, instances []endive.Instance) {
	listed := make(map[string]bool, len(instances))
	for _, instance := range instances {
		if instance.Kind == endive.KindEntry {
			continue
		}
		listed[instance.ID] = true
		e := s.states[instance.ID]
		if e != nil && e.instance == instance && e.goneAt.IsZero() {
			continue
		}
		s.states[instance.ID] = &endpointState{instance: instance}
		s.dirty = true
	}
	for id, e := range s.states {
		if !listed[id] && e.goneAt.IsZero() {
			e.goneAt = now.Add(unlistedGoneAfter)
			s.dirty = true
		}
	}
}

// stale reports whether the view has to be rebuilt.
func (s *endpointSet) stale(now time.Time) bool {
	return s.dirty || !s.nextChangeAt.IsZero() && !now.Before(s.nextChangeAt)
}

// rebuild removes expired endpoints and rebuilds the view. leaving reports whether an endpoint
// is leaving according to a leave notice or a drain, even if the instance list shows it as
// live.
func (s *endpointSet) rebuild(now time.Time, leaving func(id string) bool) {
	s.dirty = false
	s.nextChangeAt = time.Time{}
	view := make(endive.Endpoints, 0, len(s.states))
	for id, e := range s.states {
		if e.expired(now) {
			delete(s.states, id)
			continue
		}
		s.scheduleChange(e.nextChange(now))
		view = append(view, endive.Endpoint{Instance: e.instance, State: e.state(now, leaving(id))})
	}
	sort.Slice(view, func(i, j int) bool { return view[i].ID < view[j].ID })
	if !slices.Equal(view, s.view) {
		s.view = view
		s.version++
	}
}

// scheduleChange lowers nextChangeAt to the given time, unless that time is
// zero.
func (s *endpointSet) scheduleChange(at time.Time) {
	if !at.IsZero() && (s.nextChangeAt.IsZero() || at.Before(s.nextChangeAt)) {
		s.nextChangeAt = at
	}
}
