package endive

import (
	"fmt"
	"testing"

	"github.com/matryer/is"
)

// Keys must be distributed evenly even if the names of the entries are short and
// similar. FNV without mixing the bits doesn't do that.
func TestRendezvousSharesKeysEvenly(t *testing.T) {
	is := is.New(t)
	const entries, keys = 7, 7000
	preferred := make(map[EntryID]int)
	for k := range keys {
		var best EntryID
		for e := range entries {
			id := EntryID(fmt.Sprintf("entry-%d", e+1))
			if best == "" || Rendezvous(id, fmt.Sprintf("quote-%d", k)) > Rendezvous(best, fmt.Sprintf("quote-%d", k)) {
				best = id
			}
		}
		preferred[best]++
	}
	for _, n := range preferred {
		is.True(n > keys/entries*8/10 && n < keys/entries*12/10) // within 20 % of the mean
	}
	is.Equal(len(preferred), entries)
}
