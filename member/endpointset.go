package member

import (
	"slices"
	"sort"
	"time"

	"endiveroute.example/endive"
)

// endpointSet is the workers and executors that are known, with the list of them
// that was last made. Most events change no endpoint, and there are a thousand
// of them and more: so the list is made anew only when it may have changed.
type endpointSet struct {
	states map[string]*endpointState
	view   endive.Endpoints
	// version counts the changes of view.
	version uint64
	// dirty says that something that view depends on has dirty.
	dirty bool
	// nextChangeAt is when time alone changes the next endpoint; zero for never.
	nextChangeAt time.Time
}

func newEndpointSet() *endpointSet {
	return &endpointSet{states: make(map[string]*endpointState), view: endive.Endpoints{}, version: 1}
}

// applyList takes in an answer of the instance applyList.
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

// stale reports whether the list has to be made anew.
func (s *endpointSet) stale(now time.Time) bool {
	return s.dirty || !s.nextChangeAt.IsZero() && !now.Before(s.nextChangeAt)
}

// rebuild forgets endpoints that are long gone and makes the list anew. leaving
// reports whether an endpoint is leaving, whatever the instance list says.
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

// scheduleChange notes when time changes an endpoint; zero for never.
func (s *endpointSet) scheduleChange(at time.Time) {
	if !at.IsZero() && (s.nextChangeAt.IsZero() || at.Before(s.nextChangeAt)) {
		s.nextChangeAt = at
	}
}
