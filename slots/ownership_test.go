package slots

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// newPair returns a cluster of an owner and a borrower. The borrower holds both
// slots of one executor and uses one of them.
func newPair(t *testing.T) (c *cluster, owner, borrower *member) {
	t.Helper()
	is := is.New(t)
	c = newCluster(2, 1, 2, t.Fatalf)
	c.quiesce(time.Second)
	owner, borrower = c.members[0], c.members[1]
	if owner.owners.executors["x0"].ownership == nil {
		owner, borrower = borrower, owner
	}
	c.sendAll(borrower, borrower.owners.SetDemand(c.clock.Now(), endive.SlotDemand{
		Service: "quote", Waiting: 2, Oldest: c.clock.Now(),
	}))
	c.deliverAll()
	is.True(c.acquire(borrower, "x0")) // a lent slot
	is.Equal(borrower.owners.Free(c.clock.Now(), "x0"), 1)
	is.Equal(owner.owners.Free(c.clock.Now(), "x0"), 0)
	return c, owner, borrower
}

// deliverAll delivers all messages.
func (c *cluster) deliverAll() {
	for len(c.inFlight) > 0 {
		c.deliver(0)
		c.remove(0)
	}
}

// setState changes a peer's state in the members list of a member.
func (c *cluster) setState(m *member, peer endive.EntryID, state endive.MemberState) {
	c.addView(func(peers endive.Peers) endive.Peers {
		for i := range peers {
			if peers[i].ID == peer {
				peers[i].State = state
			}
		}
		return peers
	})
	m.view = len(c.views) - 1
	c.applyView(m)
}

// TestNewOwnerWaits checks that when the owner fails, the borrower becomes the
// new owner, and uses the slots that other entries may hold only after these
// slots have expired.
func TestNewOwnerWaits(t *testing.T) {
	is := is.New(t)
	c, owner, borrower := newPair(t)
	owner.stopped = true
	c.setState(borrower, owner.id, endive.MemberSuspect)
	end := borrower.owners.loansExpireAt(c.clock.Now(), "quote")
	for c.clock.Now().Add(100 * time.Millisecond).Before(end) {
		is.Equal(borrower.owners.Free(c.clock.Now(), "x0"), 0) // the slots haven't expired yet
		c.advance(100*time.Millisecond, nil)
	}
	c.advance(200*time.Millisecond, nil)
	is.Equal(borrower.owners.Free(c.clock.Now(), "x0"), 1) // one of two is in use
}

// TestBorrowerStops checks that a borrower that is cut off from the owner, and
// starts a new request whenever a request ends, stops starting requests at
// least one request timeout before the owner reclaims the slots.
func TestBorrowerStops(t *testing.T) {
	is := is.New(t)
	c, owner, borrower := newPair(t)
	c.setState(owner, borrower.id, endive.MemberSuspect)
	start, stoppedAt := c.clock.Now(), time.Time{}
	for owner.owners.Free(c.clock.Now(), "x0") == 0 {
		c.advance(50*time.Millisecond, nil)
		c.inFlight = nil
		is.True(c.clock.Now().Sub(start) < time.Minute) // reclaimed in the end
		if c.release(borrower, "x0"); !c.acquire(borrower, "x0") && stoppedAt.IsZero() {
			stoppedAt = c.clock.Now()
		}
	}
	is.True(!stoppedAt.IsZero()) // before the owner's slots were free again
	is.True(c.clock.Now().Sub(stoppedAt) >= time.Duration(endive.DefaultTimeout))
}

// TestPausedOwner checks that an owner uses no slots after a pause of its
// process until the other entries have reported their holdings.
func TestPausedOwner(t *testing.T) {
	is := is.New(t)
	c, owner, borrower := newPair(t)
	c.release(borrower, "x0")
	c.sendAll(borrower, borrower.owners.SetDemand(c.clock.Now(), endive.SlotDemand{Service: "quote"}))
	c.sendAll(owner, owner.owners.SetDemand(c.clock.Now(), endive.SlotDemand{Service: "quote", Waiting: 1, Oldest: c.clock.Now()}))
	for range 10 {
		c.advance(100*time.Millisecond, nil)
		c.deliverAll()
	}
	is.Equal(owner.owners.Free(c.clock.Now(), "x0"), 2) // all returned
	for range 20 {
		c.advance(100*time.Millisecond, owner)
	}
	is.Equal(owner.owners.Free(c.clock.Now(), "x0"), 0) // right after the pause
	c.advance(100*time.Millisecond, nil)
	c.deliverAll()
	is.Equal(owner.owners.Free(c.clock.Now(), "x0"), 2) // all entries have reported
}

// TestPlannedStop checks that when the owner leaves, the borrower becomes the
// new owner without waiting for slots to expire, also when it has to claim
// again.
func TestPlannedStop(t *testing.T) {
	is := is.New(t)
	c, owner, borrower := newPair(t)
	c.setState(owner, owner.id, endive.MemberLeaving)
	c.setState(borrower, owner.id, endive.MemberLeaving)
	c.advance(200*time.Millisecond, nil)
	c.deliverAll()
	is.Equal(borrower.owners.Free(c.clock.Now(), "x0"), 1) // one of two is in use
	owner.stopped = true
	c.addView(func(peers endive.Peers) endive.Peers {
		return slices.DeleteFunc(peers, func(p endive.Peer) bool { return p.ID == owner.id })
	})
	borrower.view = len(c.views) - 1
	c.applyView(borrower)
	c.advance(2*time.Second, borrower)                     // the borrower is paused, and claims again
	is.Equal(borrower.owners.Free(c.clock.Now(), "x0"), 1) // no unreported entry is left
}
