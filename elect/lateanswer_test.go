package elect

import (
	"testing"

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
