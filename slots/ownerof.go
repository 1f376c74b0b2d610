package slots

import (
	"hash/fnv"

	"endiveroute.example/endive"
)

// hashIncarnation returns a short hash that identifies an entry's incarnation
// in a message.
func hashIncarnation(incarnation endive.Incarnation) uint32 {
	h := fnv.New32a()
	h.Write([]byte(incarnation))
	return h.Sum32()
}

// eligible returns the live entries in a region, or all live entries if the
// region has none.
func eligible(peers endive.Peers, region endive.Region) endive.Peers {
	live := peers.Live()
	local := make(endive.Peers, 0, len(live))
	for _, p := range live {
		if p.Region == region {
			local = append(local, p)
		}
	}
	if len(local) > 0 {
		return local
	}
	return live
}

// ownerOf returns the entry with the highest rendezvous score for an executor,
// or "" if no entry is live.
func ownerOf(peers endive.Peers, executor endive.Instance) endive.EntryID {
	var owner endive.EntryID
	var best uint64
	for _, p := range eligible(peers, executor.Region) {
		if s := endive.Rendezvous(p.ID, executor.ID); owner == "" || s > best {
			owner, best = p.ID, s
		}
	}
	return owner
}
