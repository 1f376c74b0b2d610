package shell

import (
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/intake"
	"endiveroute.example/endive/lease"
	"endiveroute.example/endive/member"
)

// publishConfig gives a new configuration to the machines.
func (s *Shell) publishConfig(config endive.Config) {
	s.config.Store(&config)
	s.broadcast(endive.ConfigChanged{Config: config})
}

// publishMembers gives a new view to the machines and the sessions.
func (s *Shell) publishMembers(view endive.MembersChanged) {
	s.members.Store(&view)
	s.mesh.SetPeers(view.Peers)
	s.broadcast(view)
}

// broadcast tells all machines, those of slices included.
func (s *Shell) broadcast(event endive.Event) {
	for _, r := range s.roles() {
		r.send(event)
	}
	for _, r := range s.placerRoles() {
		r.send(event)
	}
}

// publishHolders notes who holds which slice.
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

// setReadyUntil keeps until when this entry may answer callers, and tells the
// members where that begins or ends. It is called in the ticket's actor.
func (s *Shell) setReadyUntil(until time.Time) {
	now := s.clock.Now()
	was := now.Before(*s.readyUntil.Load())
	s.readyUntil.Store(&until)
	if is := now.Before(until); is != was {
		s.member.send(member.ReadyChanged{Ready: is})
	}
}

// Ready reports whether this entry may answer callers now. It looks at the clock
// each time, since the process may have been paused.
func (s *Shell) Ready() bool {
	return s.clock.Now().Before(*s.readyUntil.Load())
}
