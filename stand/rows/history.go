package rows

import (
	"sort"

	"endiveroute.example/endive"
)

// change records that the row of a key was written at a revision.
type change struct {
	revision endive.Revision
	key      string
}

// maxOutdatedChanges is the number of outdated changes that the history may
// contain, beyond the number of rows, before it is compacted.
const maxOutdatedChanges = 1024

// history is the list of changes, ordered by revision.
type history []change

// after returns the changes after a revision. A key that was written more than
// once can occur several times.
func (h history) after(revision endive.Revision) history {
	i := sort.Search(len(h), func(i int) bool { return h[i].revision > revision })
	return h[i:]
}

// compact removes the changes that are followed by a later change of the same
// row, once there are too many of them.
func (h history) compact(rows map[string]endive.Row) history {
	if len(h) < 2*len(rows)+maxOutdatedChanges {
		return h
	}
	kept := make(history, 0, len(rows))
	for _, c := range h {
		if rows[c.key].Revision == c.revision {
			kept = append(kept, c)
		}
	}
	return kept
}
