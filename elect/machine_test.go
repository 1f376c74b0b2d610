package elect

import (
	"testing"
	"time"

	"endiveroute.example/endive"
)

func TestAcquiresFreePoolAndRenewsLease(t *testing.T) {
	r := newFixture(t)
	b, ok := tenureBegan(r.commit(r.readRow()))
	r.is.True(ok)
	r.is.Equal(b.Epoch, endive.EpochsPerTenure)
	r.is.True(b.LeaseEnd.Before(r.now.Add(lease)))
	r.now = r.now.Add(lease / 2)
	actions := r.commit(r.step(endive.Wake{}))
	r.is.Equal(actions[0], TenureRenewed{LeaseEnd: r.now.Add(lease - safetyMargin)})
	r.is.Equal(r.row().Epoch, endive.EpochsPerTenure)
}

func TestDoesNotAcquireHeldPool(t *testing.T) {
	r := newFixture(t)
	r.writeAsOtherEntry(Lease{Holder: "entry-2", Incarnation: "run-2", Epoch: 4, Until: 1500})
	_, writes := commitIn(r.readRow())
	r.is.True(!writes)
	r.now = r.now.Add(1400 * time.Millisecond)
	_, writes = commitIn(r.step(endive.Wake{}))
	r.is.True(!writes)
	r.now = r.now.Add(200 * time.Millisecond)
	b, ok := tenureBegan(r.commit(r.step(endive.Wake{})))
	r.is.True(ok)
	r.is.Equal(b.Epoch, endive.Epoch(4).NextTenure())
}

func TestWaitsForPreferredEntries(t *testing.T) {
	r := newFixture(t)
	r.acquireDelay = endive.Interval(300 * time.Millisecond)
	_, writes := commitIn(r.readRow())
	r.is.True(!writes)
	r.now = r.now.Add(299 * time.Millisecond)
	_, writes = commitIn(r.step(endive.Wake{}))
	r.is.True(!writes)
	r.now = r.now.Add(time.Millisecond)
	_, writes = commitIn(r.step(endive.Wake{}))
	r.is.True(writes)
}

// Two entries write the lease at the same time. The one whose condition fails must read the
// row before it does anything else.
func TestReadsLeaseAfterConflict(t *testing.T) {
	r := newFixture(t)
	txn, ok := commitIn(r.readRow())
	r.is.True(ok)
	r.writeAsOtherEntry(Lease{Holder: "entry-2", Incarnation: "run-2", Epoch: 1, Until: 2000})
	actions := r.step(endive.Committed{WriteID: txn.WriteID, Status: endive.CommitConflict})
	r.is.Equal(actions[0], ReadLease{})
	_, writes := commitIn(r.readRow())
	r.is.True(!writes)
	r.is.True(!r.machine.Holding())
}

// The answer to a renewal is lost, but the row shows that the renewal was written. The entry
// must keep the pool.
func TestKeepsPoolWhenRenewalAnswerIsLost(t *testing.T) {
	r := newFixture(t)
	r.commit(r.readRow())
	r.now = r.now.Add(lease / 2)
	txn, _ := commitIn(r.step(endive.Wake{}))
	r.version++
	r.value = txn.Writes[0].Value
	r.step(endive.Committed{WriteID: txn.WriteID, Status: endive.CommitUnknown})
	r.readRow()
	r.is.True(r.machine.Holding())
	r.now = r.now.Add(lease / 2)
	r.commit(r.step(endive.Wake{}))
	r.is.True(r.machine.Holding())
}

// The answer to an acquisition is lost. No other entry can acquire the pool meanwhile, so
// this entry must acquire the pool again at once. It needs a new epoch, because it doesn't
// know the version of the fence row.
func TestAcquiresAgainWhenAnswerIsLost(t *testing.T) {
	r := newFixture(t)
	txn, _ := commitIn(r.readRow())
	r.version++
	r.value = txn.Writes[0].Value
	r.step(endive.Committed{WriteID: txn.WriteID, Status: endive.CommitUnknown})
	r.now = r.now.Add(lease)
	b, ok := tenureBegan(r.commit(r.readRow()))
	r.is.True(ok)
	r.is.Equal(b.Epoch, 2*endive.EpochsPerTenure)
}

func TestTenureEnds(t *testing.T) {
	tests := []struct {
		name  string
		event func(r *fixture) []endive.Action
	}{
		{"the row names another entry", func(r *fixture) []endive.Action {
			r.writeAsOtherEntry(Lease{Holder: "entry-2", Incarnation: "run-2", Epoch: endive.EpochsPerTenure + 1, Until: 9000})
			return r.readRow()
		}},
		{"a worker refused the epoch", func(r *fixture) []endive.Action { return r.step(Fenced{Epoch: endive.EpochsPerTenure}) }},
		{"another entry reports a higher epoch", func(r *fixture) []endive.Action { return r.step(Superseded{Epoch: endive.EpochsPerTenure + 1}) }},
		{"released", func(r *fixture) []endive.Action { return r.commit(r.step(Release{})) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newFixture(t)
			r.commit(r.readRow())
			r.is.True(tenureEnded(tt.event(r)))
			r.is.True(!r.machine.Holding())
		})
	}
}

func TestAcquiresReleasedPool(t *testing.T) {
	r := newFixture(t)
	r.writeAsOtherEntry(Lease{Holder: "entry-2", Incarnation: "run-2", Epoch: 7, Until: 99000, Vacant: true})
	b, ok := tenureBegan(r.commit(r.readRow()))
	r.is.True(ok)
	r.is.Equal(b.Epoch, endive.Epoch(7).NextTenure())
}

// A holder whose process has probably ended must be replaced before its lease expires, but
// not if it has renewed the lease since the suspicion arose.
func TestReplacesSuspectedHolder(t *testing.T) {
	r := newFixture(t)
	r.writeAsOtherEntry(Lease{Holder: "entry-2", Incarnation: "run-2", Epoch: 4, Until: 1500})
	_, writes := commitIn(r.readRow())
	r.is.True(!writes)
	_, writes = commitIn(r.step(HolderSuspected{Holder: "entry-2", Incarnation: "run-1"}))
	r.is.True(!writes) // run-1 is an earlier process of the holder
	b, ok := tenureBegan(r.commit(r.step(HolderSuspected{Holder: "entry-2", Incarnation: "run-2"})))
	r.is.True(ok)
	r.is.Equal(b.PreviousLeaseEnd, r.now.Add(1500*time.Millisecond))

	r = newFixture(t)
	r.acquireDelay = endive.Interval(50 * time.Millisecond)
	r.writeAsOtherEntry(Lease{Holder: "entry-2", Incarnation: "run-2", Epoch: 4, Until: 1500})
	r.readRow()
	r.step(HolderSuspected{Holder: "entry-2", Incarnation: "run-2"})
	r.writeAsOtherEntry(Lease{Holder: "entry-2", Incarnation: "run-2", Epoch: 4, Until: 2500})
	r.readRow()
	r.now = r.now.Add(time.Second)
	_, writes = commitIn(r.step(endive.Wake{}))
	r.is.True(!writes)
}

// A malformed lease row belongs to no entry, so the pool must be acquired. The epoch in the
// row may have been that of any tenure up to the row's version, so the new epoch must be higher.
func TestAcquiresPoolWithMalformedLease(t *testing.T) {
	r := newFixture(t)
	r.version, r.value = 40, []byte("?")
	b, ok := tenureBegan(r.commit(r.readRow()))
	r.is.True(ok)
	r.is.Equal(b.Epoch, 41*endive.EpochsPerTenure)
}

// All entries restart at the same time. The entry that held the pool finds its own name in
// the lease and must acquire it at once, without waiting for preferred entries. Other entries
// must wait until the lease has expired.
func TestAcquiresLeaseOfEarlierProcess(t *testing.T) {
	tests := []struct {
		name   string
		holder endive.EntryID
		taken  bool
	}{
		{"an earlier process of this entry", "entry-1", true},
		{"another entry", "entry-2", false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newFixture(t)
			r.acquireDelay = endive.Interval(time.Second)
			r.writeAsOtherEntry(Lease{Holder: tt.holder, Incarnation: "run-0", Epoch: 4, Until: 1500})
			_, taken := commitIn(r.readRow())
			r.is.Equal(taken, tt.taken)
			r.is.True(r.machine.previousLeaseEnd.IsZero())
		})
	}
}

// A pool that the previous holder offers must be acquired at once, with the lease's row as
// that holder wrote it last, but not if a third entry has acquired the pool meanwhile.
func TestAcquiresOfferedPoolAtOnce(t *testing.T) {
	r := newFixture(t)
	r.acquireDelay = endive.Interval(time.Second)
	r.writeAsOtherEntry(Lease{Holder: "entry-2", Incarnation: "run-7", Epoch: 4, Until: 1500})
	r.readRow()
	r.writeAsOtherEntry(Lease{Holder: "entry-2", Incarnation: "run-7", Epoch: 4, Until: 1500, Vacant: true})
	left := LeaseRow{Version: r.version, Value: r.value}
	txn, taken := commitIn(r.step(Offered{Lease: left}))
	r.is.True(taken)
	r.is.Equal(txn.Conditions[0].Version, left.Version)

	late := newFixture(t)
	late.writeAsOtherEntry(Lease{Holder: "entry-2", Incarnation: "run-7", Epoch: 4, Until: 1500, Vacant: true})
	old := LeaseRow{Version: late.version, Value: late.value}
	late.writeAsOtherEntry(Lease{Holder: "entry-3", Incarnation: "run-1", Epoch: 5, Until: 1500})
	late.readRow()
	_, taken = commitIn(late.step(Offered{Lease: old}))
	late.is.True(!taken)
}

// A holder that was replaced before its lease had ended may still act after the next one has released the pool. The
// third holder has to know until when.
func TestHolderBeforeLastIsForgotten(t *testing.T) {
	r := newFixture(t)
	r.writeAsOtherEntry(Lease{Holder: "entry-2", Incarnation: "run-2", Epoch: 4, Until: 2500})
	r.readRow()
	b, ok := tenureBegan(r.commit(r.step(HolderSuspected{Holder: "entry-2", Incarnation: "run-2"})))
	r.is.True(ok)
	r.is.Equal(b.PreviousLeaseEnd, r.now.Add(2500*time.Millisecond))
	r.now = r.now.Add(time.Second)
	r.commit(r.step(Release{}))
	r.is.True(r.row().Vacant)
	third := newFixture(t)
	third.now, third.version, third.value = r.now, r.version, r.value
	b, ok = tenureBegan(third.commit(third.readRow()))
	third.is.True(ok)
	third.is.Equal(b.PreviousLeaseEnd, third.now.Add(1500*time.Millisecond))
	third.now = third.now.Add(2 * time.Second)
	third.commit(third.step(Release{}))
	fourth := newFixture(t)
	fourth.now, fourth.version, fourth.value = third.now, third.version, third.value
	b, ok = tenureBegan(fourth.commit(fourth.readRow()))
	fourth.is.True(ok)
	fourth.is.True(b.PreviousLeaseEnd.IsZero()) // that lease has ended
	fourth.is.Equal(fourth.row().FormerUntil, endive.PlatformTime(0))
}
