package slots

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"endiveroute.example/endive"
)

// TestOwnersNeverExceed checks under random events that no executor ever runs
// more requests than it has slots, and that all slots are free again at the
// end.
func TestOwnersNeverExceed(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := newCluster(rapid.IntRange(2, 4).Draw(t, "entries"), rapid.IntRange(1, 3).Draw(t, "executors"),
			rapid.IntRange(1, 3).Draw(t, "slots"), t.Fatalf)
		c.quiesce(time.Second)
		c.greedy = rapid.IntRange(0, 3).Draw(t, "greedy") > 0
		for range rapid.IntRange(1, 400).Draw(t, "events") {
			c.randomEvent(t)
		}
		c.quiesce(30 * time.Second)
		c.checkAllFree(t)
	})
}

// checkAllFree checks that all slots of each executor are free again.
func (c *cluster) checkAllFree(t *rapid.T) {
	for _, x := range c.executors {
		id := endive.ExecutorID(x.ID)
		free := 0
		for _, m := range c.running() {
			free += m.owners.Free(c.clock.Now(), id)
		}
		owned := false
		for _, p := range c.views[len(c.views)-1].Peers {
			owned = owned || p.State == endive.MemberLive
		}
		if owned && free != c.slots {
			for _, m := range c.running() {
				limit, used, lent := m.owners.Usage(id)
				t.Logf("entry %s, incarnation %s: limit %d, used %d, lent %d", m.id, m.incarnation, limit, used, lent)
				a := m.owners.executors[id]
				t.Logf("%+v", *a)
				if a.ownership != nil {
					for b, l := range a.ownership.loans {
						t.Logf("loan %v %+v alive %v", b, *l, m.owners.isAlive(b))
					}
				}
				t.Logf("requesters %v", m.owners.requesters["quote"])
			}
			t.Fatalf("%d of %d slots of executor %s are free", free, c.slots, id)
		}
	}
}
