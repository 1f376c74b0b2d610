package lease

import "endiveroute.example/endive"

// Holder is the entry that a slice's row names.
type Holder struct {
	Slice endive.SliceID
	Entry endive.EntryID
	Epoch endive.Epoch
}

// Holders is a list of holders, in the order of the slices' ids.
type Holders []Holder

// PublishHolders is the action of telling the entry who holds which slice, for
// sending notices.
type PublishHolders struct {
	Holders Holders
}

// IsAction marks HoldersUpdated as an action.
func (PublishHolders) IsAction() {}
