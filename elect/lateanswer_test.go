package elect

import (
	"testing"
	"time"

	"endiveroute.example/endive"
)

// A renewal is written, and another entry acquires the pool before the answer arrives. The answer must not be taken for that of
// an acquisition.
func TestRenewalAnsweredAfterTenureWasLost(t *testing.T) {
	tests := []struct {
		name string
		lose func(r *fixture)
	}{
		{"a worker refused the epoch", func(r *fixture) { r.step(Fenced{Epoch: endive.EpochsPerTenure}) }},
		{"another entry reports a higher epoch", func(r *fixture) { r.step(Superseded{Epoch: 2 * endive.EpochsPerTenure}) }},
		{"the row names another entry", func(r *fixture) { r.readRow() }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newFixture(t)
			r.commit(r.readRow())
			r.now = r.now.Add(lease / 2)
			txn, _ := commitIn(r.step(endive.Wake{}))
			answer := r.apply(txn)
			r.writeAsOtherEntry(Lease{Holder: "entry-2", Incarnation: "run-2", Epoch: 2 * endive.EpochsPerTenure, Until: 9000})
			tt.lose(r)
			_, began := tenureBegan(r.step(answer))
			r.is.True(!began)
			r.is.True(!r.machine.Holding())
			r.readRow()
			r.is.Equal(r.machine.Holder(), endive.EntryID("entry-2"))
		})
	}
}

// Another entry replaces a lease before the answer to its acquisition arrives, and this entry has read that.
func TestAcquisitionAnsweredAfterRowWasReplaced(t *testing.T) {
	r := newFixture(t)
	txn, _ := commitIn(r.readRow())
	answer := r.apply(txn)
	r.writeAsOtherEntry(Lease{Holder: "entry-2", Incarnation: "run-2", Epoch: 2 * endive.EpochsPerTenure, Until: 9000})
	r.readRow()
	_, began := tenureBegan(r.step(answer))
	r.is.True(!began)
	r.is.Equal(r.machine.Holder(), endive.EntryID("entry-2"))
}

// A process is frozen while the answer to its acquisition arrives, until its lease has ended. It must read the row
// before it acts as the holder.
func TestAcquisitionAnsweredAfterLeaseEnded(t *testing.T) {
	r := newFixture(t)
	txn, _ := commitIn(r.readRow())
	answer := r.apply(txn)
	r.now = r.now.Add(lease)
	actions := r.step(answer)
	_, began := tenureBegan(actions)
	r.is.True(!began)
	r.is.True(!r.machine.Holding())
	r.is.Equal(actions, []endive.Action{ReadLease{}})
	r.writeAsOtherEntry(Lease{Holder: "entry-2", Incarnation: "run-2", Epoch: 2 * endive.EpochsPerTenure, Until: 9000})
	_, writes := commitIn(r.readRow())
	r.is.True(!writes)
}

// The answer to a release is lost. The entry may act until its lease ends, so the next holder has to know until when, unless
// the entry offers the pool, after which it doesn't act.
func TestNextHolderAfterReleaseWithoutAnswer(t *testing.T) {
	tests := []struct {
		name  string
		event func(row LeaseRow) endive.Event
		want  func(start time.Time) time.Time
	}{
		{"finds the released lease", func(row LeaseRow) endive.Event { return row }, func(start time.Time) time.Time { return start.Add(lease) }},
		{"is offered the pool", func(row LeaseRow) endive.Event { return Offered{Lease: row} }, func(time.Time) time.Time { return time.Time{} }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newFixture(t)
			r.commit(r.readRow())
			r.now = r.now.Add(time.Second / 2)
			txn, _ := commitIn(r.step(Release{}))
			r.apply(txn)
			r.is.True(r.row().Vacant)
			next := newFixtureOf(t, "entry-2", "run-2")
			next.now, next.version, next.value = r.start.Add(time.Second), r.version, r.value
			row := LeaseRow{Version: r.version, Value: r.value}
			began, ok := tenureBegan(next.commit(next.step(tt.event(row))))
			r.is.True(ok)
			r.is.Equal(began.PreviousLeaseEnd, tt.want(r.start))
		})
	}
}

// The answer to a release is lost, and the entry reads the released lease. It must end its tenure, as one that can be handed
// over.
func TestReadsOwnReleaseWithoutAnswer(t *testing.T) {
	r := newFixture(t)
	r.commit(r.readRow())
	txn, _ := commitIn(r.step(Release{}))
	answer := r.apply(txn)
	ended := r.readRow()
	r.is.Equal(ended, []endive.Action{TenureEnded{Reason: "lease released", Released: true, Lease: LeaseRow{Version: r.version, Value: r.value}}})
	r.is.True(!r.machine.Holding())
	r.is.Equal(len(r.step(answer)), 0)
}
