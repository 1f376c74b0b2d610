package ticket

import "endiveroute.example/endive"

// EntryRevision is the configuration revision that an entry has confirmed.
type EntryRevision struct {
	Entry    endive.EntryID
	State    endive.MemberState
	Revision endive.Revision
	// Current is set if the entry has confirmed at least the revision of the entry
	// that reports it.
	Current bool
}
