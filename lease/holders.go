package lease

import "endiveroute.example/endive"

// Holder is the entry that holds a slice according to the slice's epoch row.
type Holder struct {
	Slice endive.SliceID
	Entry endive.EntryID
	Epoch endive.Epoch
}

// Holders is a list of holders, sorted by slice ID.
type Holders []Holder

// PublishHolders is the action that passes the holders of all slices to the entry, which
// sends its notices to them.
type PublishHolders struct {
	Holders Holders
}

// IsAction marks PublishHolders as an action.
func (PublishHolders) IsAction() {}
