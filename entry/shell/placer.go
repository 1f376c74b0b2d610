package shell

import (
	"sort"

	"endiveroute.example/endive"
	"endiveroute.example/endive/place"
)

// placer is the machine that places the tasks of one slice. It exists from the
// first time this entry acquires the slice's lease.
type placer struct {
	role    *role
	machine *place.Machine
	lease   endive.LeaseChanged
}

// updateLease passes a change of a slice's lease to the slice's machine. The
// machine is created when this entry acquires the slice for the first time, and
// is kept after the lease ends.
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
	p.role.send(changed)
	if !changed.Held && s.leaving.Load() {
		p.role.send(place.HandOver{})
	}
}

// newPlacer starts the machine of a slice and sends it the current configuration
// and members.
func (s *Shell) newPlacer(slice endive.Slice) *placer {
	ids := endive.NewWriteIDs(s.self.ID, s.incarnation, "place/"+string(slice.ID))
	settings := place.DefaultSettings()
	settings.TaskLeaseDuration = s.settings.Timings.TaskLease
	settings.RenewInterval = settings.TaskLeaseDuration / renewalsPerLease
	machine := place.New(slice, settings, place.BestFit{}, ids)
	r := s.spawn("place/"+string(slice.ID), machine)
	r.send(endive.ConfigChanged{Config: *s.config.Load()})
	r.send(*s.members.Load())
	r.send(endive.Wake{})
	return &placer{role: r, machine: machine}
}

// renewalsPerLease is the number of renewals within the duration of a task's
// lease.
const renewalsPerLease = 3

// placer returns the role that runs a slice's machine, or nil if there is none.
func (s *Shell) placer(slice endive.SliceID) *role {
	s.mu.Lock()
	defer s.mu.Unlock()
	if p, ok := s.placers[slice]; ok {
		return p.role
	}
	return nil
}

// placerRoles returns the roles of all slices' machines, sorted by slice.
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
