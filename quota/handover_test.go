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

// A holder has given back a part that was handed over to it, and another pool has it now. The next holder replaces it, and it
// learns of that by a conflict, which doesn't show the other pool's row.
func TestReplacedHolderHasNoPart(t *testing.T) {
	is := is.New(t)
	store := newTestStore()
	first, other := newStored("p", 1, store), newStored("q", 1, store)
	run(store, map[*Stored]endive.QuotaUse{first: {Running: processors(800)}}, 3)
	replaced := successor("p", 2)
	replaced.TakeOver(first.HandOver())
	for _, s := range []*Stored{other, replaced, other} {
		run(store, map[*Stored]endive.QuotaUse{s: {Waiting: map[*Stored]endive.Resources{other: processors(800)}[s]}}, 3)
	}
	is.True(limitOf(other) >= 800)
	next := successor("p", 3)
	run(store, map[*Stored]endive.QuotaUse{next: {}}, 1)
	store.now = store.now.Add(growInterval)
	change, ok := replaced.Update(store.now, map[endive.AccountName]endive.QuotaUse{"a": {Running: processors(800)}})
	is.True(ok)
	replaced.HandleCommitted(store.now, store.commit(change.Transaction))
	is.True(limitOf(replaced)+limitOf(other) <= capOfA)
}
