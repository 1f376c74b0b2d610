package lease

import (
	"sort"

	"endiveroute.example/endive"
)

// rankCandidates returns the entries that may acquire a slice, the most preferred first: live
// and ready entries, those in the slice's region before others, and each of these groups
// ordered by rendezvous hashing.
func rankCandidates(slice endive.Slice, peers endive.Peers) endive.Peers {
	var candidates endive.Peers
	for _, p := range peers.Live() {
		if p.Ready {
			candidates = append(candidates, p)
		}
	}
	sort.SliceStable(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		if local := a.Region == slice.Region; local != (b.Region == slice.Region) {
			return local
		}
		return endive.Rendezvous(a.ID, string(slice.ID)) > endive.Rendezvous(b.ID, string(slice.ID))
	})
	return candidates
}

// rank returns the number of entries that are preferred to the given one for a
// slice. ok is false if that entry may not acquire the slice.
func rank(slice endive.Slice, peers endive.Peers, entry endive.EntryID) (rank int, ok bool) {
	for i, p := range rankCandidates(slice, peers) {
		if p.ID == entry {
			return i, true
		}
	}
	return 0, false
}
