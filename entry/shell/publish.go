package shell

import (
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/intake"
	"endiveroute.example/endive/lease"
	"endiveroute.example/endive/member"
)

// publishConfig stores a new configuration and sends it to all machines.
func (s *Shell) publishConfig(config endive.Config) {
	s.config.Store(&config)
	s.broadcast(endive.ConfigChanged{Config: config})
}

// publishMembers stores a new view of the members and sends it to all machines
// and the peer connections.
func (s *Shell) publishMembers(view endive.MembersChanged) {
	s.members.Store(&view)
	s.mesh.SetPeers(view.Peers)
	s.broadcast(view)
}

// broadcast sends an event to all machines, including those of slices.
func (s *Shell) broadcast(event endive.Event) {
	for _, r := range s.roles() {
		r.send(event)
	}
	for _, r := range s.placerRoles() {
		r.send(event)
	}
}

// publishHolders stores the holder of each slice and sends them to the intake
// machine.
func (s *Shell) publishHolders(holders lease.Holders) {
	entries := make(map[endive.SliceID]endive.EntryID, len(holders))
	s.mu.Lock()
	clear(s.holders)
	for _, h := range holders {
		s.holders[h.Slice] = h
		entries[h.Slice] = h.Entry
	}
	s.mu.Unlock()
	s.intake.send(intake.HoldersChanged{Holders: entries})
}

// setReadyUntil sets the time until which this entry may answer clients, and
// notifies the member machine when the entry becomes ready or unready. It must
// be called in the ticket machine's actor.
func (s *Shell) setReadyUntil(until time.Time) {
	now := s.clock.Now()
	was := now.Before(*s.readyUntil.Load())
	s.readyUntil.Store(&until)
	if is := now.Before(until); is != was {
		s.member.send(member.ReadyChanged{Ready: is})
	}
}

// Ready reports whether this entry may answer clients now. It reads the clock on
// each call, since the process may have been paused.
func (s *Shell) Ready() bool {
	return s.clock.Now().Before(*s.readyUntil.Load())
}
