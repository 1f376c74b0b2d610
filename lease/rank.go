package lease

import (
	"sort"

	"endiveroute.example/endive"
)

// rankCandidates returns the entries that may take a slice, the preferred one first:
// those that are live and ready, of the slice's region before others, each group
// by rendezvous hashing.
func rankCandidates(slice endive.Slice, peers endive.Peers) endive.Peers {
	var candidates endive.Peers
	for _, p := range peers.Live() {
		if p.Ready {
			candidates = append(candidates, p)
		}
	}
	sort.SliceStable(candidates, func(i, j int) bool {
		a, b := candidates[i], candidates[j]
		if near := a.Region == slice.Region; near != (b.Region == slice.Region) {
			return near
		}
		return endive.Rendezvous(a.ID, string(slice.ID)) > endive.Rendezvous(b.ID, string(slice.ID))
	})
	return candidates
}

// rank returns how many entries are preferred to one; ok is false where it may
// not take the slice at all.
func rank(slice endive.Slice, peers endive.Peers, entry endive.EntryID) (rank int, ok bool) {
	for i, p := range rankCandidates(slice, peers) {
		if p.ID == entry {
			return i, true
		}
	}
	return 0, false
}
