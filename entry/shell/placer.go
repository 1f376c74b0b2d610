package shell

import (
	"sort"

	"endiveroute.example/endive"
	"endiveroute.example/endive/place"
)

// placer is the machine of a slice that this entry holds or held.
type placer struct {
	role    *role
	machine *place.Machine
	lease   endive.LeaseChanged
}

// updateLease tells the machine of a slice of its lease. The machine is made
// when the slice is taken for the first time, and kept.
func (s *Shell) updateLease(changed endive.LeaseChanged) {
	s.mu.Lock()
	p, ok := s.placers[changed.Slice.ID]
	if !ok && changed.Held {
		p = s.newPlacer(changed.Slice)
		s.placers[changed.Slice.ID] = p
	}
	if p != nil {
		p.lease = changed
	}
	s.mu.Unlock()
	if p == nil {
		return
	}
	p.role.tell(changed)
	if !changed.Held && s.leaving.Load() {
		p.role.tell(place.HandOver{})
	}
}

// newPlacer spawns the machine of a slice and tells it what there is to know.
func (s *Shell) newPlacer(slice endive.Slice) *placer {
	ids := endive.NewWriteIDs(s.self.ID, s.incarnation, "place/"+string(slice.ID))
	settings := place.DefaultSettings()
	settings.TaskLeaseDuration = s.settings.Timings.TaskLease
	settings.RenewInterval = settings.TaskLeaseDuration / renewalsPerLease
	machine := place.New(slice, settings, place.BestFit{}, ids)
	r := s.spawn("place/"+string(slice.ID), machine)
	r.tell(endive.ConfigChanged{Config: *s.config.Load()})
	r.tell(*s.members.Load())
	r.tell(endive.Wake{})
	return &placer{role: r, machine: machine}
}

// renewalsPerLease is how often a task's lease is renewed while it lasts.
const renewalsPerLease = 3

// placer returns the role of a slice's machine, or nil.
func (s *Shell) placer(slice endive.SliceID) *role {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.placers[slice]; ok {
		return p.role
	}
	return nil
}

// placerRoles returns the roles of all slices' machines, in the order of their
// slices.
func (s *Shell) placerRoles() []*role {
	s.mu.Lock()
	defer s.mu.Unlock()
	ids := make([]endive.SliceID, 0, len(s.placers))
	for id := range s.placers {
		ids = append(ids, id)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	roles := make([]*role, 0, len(ids))
	for _, id := range ids {
		roles = append(roles, s.placers[id].role)
	}
	return roles
}
