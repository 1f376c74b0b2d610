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

// loadPeriod lies between two collections of the loads for the heartbeats.
const loadPeriod = time.Second

// loads holds the newest figures of the slices held here, for the heartbeats.
// Services tell their demand in the messages of the slots.
type loads struct {
	slices map[endive.SliceID]place.Load
}

// loop collects the loads until the shell is closed.
func (s *Shell) loop() {
	ticker := time.NewTicker(loadPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-s.done:
			return
		case <-ticker.C:
			s.askLoads()
			s.member.tell(s.heartbeatLoads())
		}
	}
}

// askLoads asks the machines for their figures; they arrive before the next
// collection.
func (s *Shell) askLoads() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range s.placers {
		p.role.ask(func() { s.notePlacerLoad(p) })
	}
}

// notePlacerLoad is called in the placer's actor.
func (s *Shell) notePlacerLoad(p *placer) {
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
		s.noteLoad(intake.LoadReceived{Slice: load.Slice, Queued: load.Queued, Free: load.Free})
	}
}

// noteLoad passes on the load of a slice, of this entry or a peer.
func (s *Shell) noteLoad(heard intake.LoadReceived) { s.intake.tell(heard) }

// heartbeatLoads returns what the next heartbeats say.
func (s *Shell) heartbeatLoads() member.LoadsChanged {
	s.mu.Lock()
	defer s.mu.Unlock()
	var changed member.LoadsChanged
	for _, load := range s.loads.slices {
		changed.Slices = append(changed.Slices, &wire.SliceLoad{
			Slice:  string(load.Slice),
			Epoch:  uint64(load.Epoch),
			Queued: uint32(load.Queued),
			Free: &wire.ResourceCount{
				Processors:   int64(load.Free.Processors),
				Memory:       int64(load.Free.Memory),
				Accelerators: int64(load.Free.Accelerators),
			},
		})
	}
	sort.Slice(changed.Slices, func(i, j int) bool { return changed.Slices[i].GetSlice() < changed.Slices[j].GetSlice() })
	return changed
}
