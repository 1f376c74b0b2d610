package endive

// MemberState is the state of an entry or endpoint, as observed by an entry.
type MemberState string

// The states of a member.
const (
	// MemberLive means that the member is in the instance list and responds.
	MemberLive MemberState = "live"
	// MemberSuspect means that the member recently stopped responding or disappeared
	// from the instance list, or has not yet been confirmed as live again.
	MemberSuspect MemberState = "suspect"
	// MemberLeaving means that the member announced its shutdown: it gets no new work.
	MemberLeaving MemberState = "leaving"
	// MemberGone means that the member is not in the instance list and doesn't respond.
	MemberGone MemberState = "gone"
)
