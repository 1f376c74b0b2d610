package cell

import (
	"sort"

	"endiveroute.example/endive"
)

// A large configuration must not cross the link between two regions once per entry. In each
// region a few entries, the readers, read it from the store; the others poll them.

const (
	// minReaders is the minimum number of readers in each region: one may fail.
	minReaders = 2
	// entriesPerReader is the number of entries of a region for which there is a reader. To
	// pass on a large configuration takes a reader with little processor time tens of
	// milliseconds per entry.
	entriesPerReader = 16
)

// configReaders returns the readers of a region among the live entries, in an order that is the
// same at all entries. Holders of pools have other work, and are chosen last.
func configReaders(live endive.Peers, region endive.Region, holders map[endive.EntryID]bool) []endive.EntryID {
	var ids []endive.EntryID
	for _, peer := range live {
		if peer.Region == region {
			ids = append(ids, peer.ID)
		}
	}
	sort.Slice(ids, func(i, j int) bool {
		if holders[ids[i]] != holders[ids[j]] {
			return holders[ids[j]]
		}
		return endive.Rendezvous(ids[i], "config readers") > endive.Rendezvous(ids[j], "config readers")
	})
	readers := max(minReaders, (len(ids)+entriesPerReader-1)/entriesPerReader)
	return ids[:min(readers, len(ids))]
}

// configReaders returns the readers of this entry's region; none if this entry is one of them.
func (p *peers) configReaders() []endive.EntryID {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, id := range p.readers {
		if id == p.cell.Settings.Name {
			return nil
		}
	}
	return p.readers
}
