package member

import (
	"time"

	"endiveroute.example/endive"
)

// endpointState is the state of one worker or executor.
type endpointState struct {
	instance endive.Instance
	// goneAt is when an endpoint that is missing from the instance list is considered gone. It
	// is zero while the list contains the endpoint.
	goneAt time.Time
}

// leaveNotice records that an endpoint announced its shutdown.
type leaveNotice struct {
	announcedAt time.Time
	expiresAt   time.Time
}

// state returns the member state at the given time. leaving is true if there is
// a leave notice or a drain for the endpoint; it takes precedence over the
// instance list until the endpoint is gone.
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

// expired reports whether the endpoint has been gone for removeAfter.
func (e *endpointState) expired(now time.Time) bool {
	return !e.goneAt.IsZero() && !now.Before(e.goneAt.Add(removeAfter))
}

// nextChange returns when the state next changes with time alone, or zero if it doesn't.
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
