package shell

import (
	"sort"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/intake"
	"endiveroute.example/endive/member"
	"endiveroute.example/endive/place"
	"endiveroute.example/endive/wire"
)

// loadInterval is the time between two collections of the slices' loads.
const loadInterval = time.Second

// loads holds the newest loads of the slices that this entry holds; they are
// sent with heartbeats. The demand of services isn't among them: it is sent
// with the slot messages.
type loads struct {
	slices map[endive.SliceID]place.Load
}

// collectLoads collects the loads periodically until the shell is closed.
func (s *Shell) collectLoads() {
	ticker := time.NewTicker(loadInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-ticker.C:
			s.requestLoads()
			s.member.send(s.heartbeatLoads())
		}
	}
}

// requestLoads requests the load of each slice from its machine, without
// waiting for the results. The next collection includes them.
func (s *Shell) requestLoads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.placers {
		p.role.inspect(func() { s.recordSliceLoad(p) })
	}
}

// recordSliceLoad stores the load of a slice while this entry holds it. It must
// be called in the placer's actor.
func (s *Shell) recordSliceLoad(p *placer) {
	load := p.machine.Load()
	s.mu.Lock()
	if s.loads.slices == nil {
		s.loads.slices = make(map[endive.SliceID]place.Load)
	}
	if p.lease.Held {
		s.loads.slices[load.Slice] = load
	} else {
		delete(s.loads.slices, load.Slice)
	}
	held := p.lease.Held
	s.mu.Unlock()
	if held {
		s.forwardLoad(intake.LoadReceived{Slice: load.Slice, Queued: load.Queued, Free: load.Free})
	}
}

// forwardLoad sends the load of a slice, held by this entry or a peer, to the
// intake machine.
func (s *Shell) forwardLoad(received intake.LoadReceived) { s.intake.send(received) }

// heartbeatLoads returns the loads for the next heartbeats, sorted by slice.
func (s *Shell) heartbeatLoads() member.LoadsChanged {
	s.mu.Lock()
	defer s.mu.Unlock()
	var changed member.LoadsChanged
	for _, load := range s.loads.slices {
		changed.Slices = append(changed.Slices, &wire.SliceLoad{
			Slice:  string(load.Slice),
			Epoch:  uint64(load.Epoch),
			Queued: uint32(load.Queued),
			Free:   wire.NewResourceCount(load.Free),
		})
	}
	sort.Slice(changed.Slices, func(i, j int) bool { return changed.Slices[i].GetSlice() < changed.Slices[j].GetSlice() })
	return changed
}
