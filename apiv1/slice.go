package apiv1

import "endiveroute.example/endive"

// Slice is the state of a slice as the queried entry knows it.
type Slice struct {
	ID     endive.SliceID  `json:"id"`
	Pool   endive.PoolName `json:"pool"`
	Region endive.Region   `json:"region"`
	// Holder is empty while no entry holds the slice.
	Holder endive.EntryID `json:"holder,omitempty"`
	Epoch  endive.Epoch   `json:"epoch"`
	// Remaining is the time until the lease expires, set only if the queried entry is
	// the holder.
	Remaining endive.Interval  `json:"remaining,omitempty"`
	Workers   int              `json:"workers"`
	Queued    int              `json:"queued"`
	Running   int              `json:"running"`
	Free      endive.Resources `json:"free"`
}

// SliceList is the answer to the call that lists slices.
type SliceList struct {
	Slices []Slice `json:"slices"`
}
