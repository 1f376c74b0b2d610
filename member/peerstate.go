package member

import (
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// peerState is what is known of one peer.
type peerState struct {
	peer endive.Peer
	// seed says that the settings name the peer.
	seed bool
	// listed says that the instance list shows the peer.
	listed    bool
	confirmed bool
	leaving   bool
	// suspectAt and goneAt are when the peer becomes suspect and gone, unless it
	// is heard before.
	suspectAt time.Time
	goneAt    time.Time
	removeAt  time.Time
	// sequence is the newest heartbeat heard from the incarnation.
	sequence uint64
	// minEcho is the heartbeat that a peer must echo before it is live again:
	// one that was sent after it fell silent.
	minEcho uint64
}

// applyHeartbeat takes in a heartbeat; sent is the newest heartbeat that this entry has
// sent. It reports false where the heartbeat is an old one.
//
// A peer is live only while it hears this entry too, so a heartbeat whose echo
// is far behind doesn't count. Nor does the first one after a silence: the peer
// may have sent it before it was paused.
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

// state returns the member state at now.
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
