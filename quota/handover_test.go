package quota

import (
	"testing"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// successor returns the division of the next holder of a pool, which has read nothing yet.
func successor(pool string, epoch endive.Epoch) *Stored {
	s := NewStored(endive.PoolName(pool), endive.NewWriteIDs("e", "2", pool), 0.1)
	s.SetAccounts(accountA(capOfA), 2)
	s.Begin(epoch)
	return s
}

// A holder counts what an earlier one may have started, above what the other pool leaves of the cap. The holder that it hands
// the pool over to hasn't read the other pool's part yet.
func TestHandedOverPartLeavesPartsOfOtherPools(t *testing.T) {
	is := is.New(t)
	store := newTestStore()
	other := newStored("q", 1, store)
	run(store, map[*Stored]endive.QuotaUse{other: {Running: processors(500)}}, 3)
	otherPart := limitOf(other)
	is.True(otherPart >= 500)
	p := newStored("p", 1, store)
	run(store, map[*Stored]endive.QuotaUse{p: {Running: processors(2000)}}, 3)
	next := successor("p", 2)
	next.TakeOver(p.HandOver())
	is.True(limitOf(next) <= capOfA-otherPart)
}
