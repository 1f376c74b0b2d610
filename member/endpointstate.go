package member

import (
	"time"

	"endiveroute.example/endive"
)

// endpointState is what is known of one worker or executor.
type endpointState struct {
	instance endive.Instance
	// goneAt is when an endpoint that the list lacks counts as gone; zero while
	// the list shows it.
	goneAt time.Time
}

// leaveNotice is a leaveNotice that an endpoint is leaving.
type leaveNotice struct {
	sentAt    time.Time
	expiresAt time.Time
}

// state returns the member state at now. A sign or a drain by a ticket, which
// leaving stands for, goes before what the list says.
func (e *endpointState) state(now time.Time, leaving bool) endive.MemberState {
	switch {
	case !e.goneAt.IsZero() && !now.Before(e.goneAt):
		return endive.MemberGone
	case e.instance.Leaving || leaving:
		return endive.MemberLeaving
	case !e.goneAt.IsZero():
		return endive.MemberSuspect
	default:
		return endive.MemberLive
	}
}

// expired reports whether the endpoint has been gone for long.
func (e *endpointState) expired(now time.Time) bool {
	return !e.goneAt.IsZero() && !now.Before(e.goneAt.Add(removeAfter))
}

// nextChange returns when time alone changes the state next; zero for never.
func (e *endpointState) nextChange(now time.Time) time.Time {
	switch {
	case e.goneAt.IsZero():
		return time.Time{}
	case now.Before(e.goneAt):
		return e.goneAt
	default:
		return e.goneAt.Add(removeAfter)
	}
}
