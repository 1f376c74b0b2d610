package flow

import (
	"slices"

	"endiveroute.example/endive"
)

// maxUnfitNeeds limits the needs that a scheduling pass remembers.
const maxUnfitNeeds = 16

// unfitNeeds are resources that no worker has had free in the current scheduling pass. During a pass, free
// capacity only shrinks.
type unfitNeeds []endive.Resources

// add adds a need that fits on no worker.
func (n *unfitNeeds) add(need endive.Resources) {
	if len(*n) < maxUnfitNeeds && !n.cover(need) {
		*n = append(*n, need)
	}
}

// cover reports whether a need fits on no worker, since a smaller one doesn't.
func (n *unfitNeeds) cover(need endive.Resources) bool {
	return slices.ContainsFunc(*n, func(smaller endive.Resources) bool { return smaller.Fits(need) })
}
