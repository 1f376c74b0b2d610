package apiv1

import "endiveroute.example/endive"

// Entry is the state of an entry as the queried entry knows it.
type Entry struct {
	ID             endive.EntryID     `json:"id"`
	Self           bool               `json:"self,omitempty"`
	Incarnation    endive.Incarnation `json:"incarnation,omitempty"`
	Address        endive.Address     `json:"address"`
	Region         endive.Region      `json:"region"`
	Zone           endive.Zone        `json:"zone"`
	State          endive.MemberState `json:"state"`
	Ready          bool               `json:"ready"`
	ConfigRevision endive.Revision    `json:"configRevision"`
}

// EntryList is the answer to the call that lists entries.
type EntryList struct {
	Entries []Entry `json:"entries"`
}

// NewEntryList returns the JSON form of peers, with the queried entry self marked.
func NewEntryList(self endive.EntryID, peers endive.Peers) EntryList {
	list := EntryList{Entries: make([]Entry, 0, len(peers))}
	for _, p := range peers {
		list.Entries = append(list.Entries, Entry{
			ID: p.ID, Self: p.ID == self, Incarnation: p.Incarnation, Address: p.Address, Region: p.Region,
			Zone: p.Zone, State: p.State, Ready: p.Ready, ConfigRevision: p.ConfigRevision,
		})
	}
	return list
}
