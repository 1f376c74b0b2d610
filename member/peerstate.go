package member

import (
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// peerState is what this entry knows about one peer, from the settings, the
// instance list and the peer's heartbeats.
type peerState struct {
	peer endive.Peer
	// seed is true if this entry's settings name the peer.
	seed bool
	// listed is true if the instance list contains the peer.
	listed bool
	// confirmed is true if the peer's heartbeats show that it receives the
	// heartbeats of this entry.
	confirmed bool
	leaving   bool
	// suspectAt and goneAt are when the peer becomes suspect and gone unless a heartbeat
	// arrives before.
	suspectAt time.Time
	goneAt    time.Time
	removeAt  time.Time
	// sequence is the number of the newest heartbeat received from this incarnation.
	sequence uint64
	// minEcho is the number of the first heartbeat sent after the peer became
	// silent. The peer must echo that heartbeat or a later one before the peer
	// is live again.
	minEcho uint64
}

// applyHeartbeat updates the peer with a heartbeat. lastSent is the number of the last
// heartbeat that this entry sent. It returns false if the heartbeat is old or a duplicate.
//
// A peer is live only while it also receives this entry's heartbeats, so a heartbeat whose
// echo lags far behind doesn't confirm the peer. Nor does the first one after a silence: the
// peer may have sent it before it was paused.
func (p *peerState) applyHeartbeat(now time.Time, lastSent uint64, incarnation endive.Incarnation, heartbeat *wire.Heartbeat) bool {
	if p.peer.Incarnation != incarnation {
		p.peer.Incarnation = incarnation
		p.sequence = 0
		p.leaving = false
		p.confirmed = false
		p.minEcho = 0
	}
	if heartbeat.GetSequence() <= p.sequence {
		return false
	}
	if p.confirmed && !now.Before(p.suspectAt) {
		p.confirmed = false
		p.minEcho = lastSent + 1
	}
	p.sequence = heartbeat.GetSequence()
	p.leaving = heartbeat.GetLeaving()
	p.peer.Ready = heartbeat.GetReady()
	p.peer.ConfigRevision = endive.Revision(heartbeat.GetConfigRevision())
	if heartbeat.GetRegion() != "" {
		p.peer.Region = endive.Region(heartbeat.GetRegion())
		p.peer.Zone = endive.Zone(heartbeat.GetZone())
	}
	if echo := heartbeat.GetEcho(); echo > 0 && echo >= p.minEcho && echo+maxEchoLag >= lastSent {
		p.confirmed = true
		p.suspectAt = now.Add(suspectAfter)
	}
	p.goneAt = now.Add(goneAfter)
	p.removeAt = now.Add(removeAfter)
	return true
}

// state returns the member state at the given time.
func (p *peerState) state(now time.Time) endive.MemberState {
	switch {
	case !now.Before(p.goneAt):
		return endive.MemberGone
	case p.leaving:
		return endive.MemberLeaving
	case p.confirmed && now.Before(p.suspectAt):
		return endive.MemberLive
	default:
		return endive.MemberSuspect
	}
}
