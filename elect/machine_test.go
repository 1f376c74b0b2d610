package elect

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// steadyClock is a platform clock that counts the milliseconds since start.
type steadyClock struct{ start time.Time }

func (steadyClock) Known() bool { return true }
func (c steadyClock) AtLeast(at time.Time) endive.PlatformTime {
	return endive.PlatformTime(at.Sub(c.start).Milliseconds())
}
func (c steadyClock) Earliest(t endive.PlatformTime) time.Time {
	return c.start.Add(time.Duration(t) * time.Millisecond)
}

const lease = 2 * time.Second

// fixture is one entry's machine and the lease's row in the store.
type fixture struct {
	is           *is.I
	machine      *Machine
	acquireDelay endive.Interval
	now          time.Time
	version      endive.Version
	value        []byte
}

func newFixture(t *testing.T) *fixture {
	start := time.Unix(1_800_000_000, 0)
	fence := func(epoch endive.Epoch) endive.Write { return endive.Write{Key: "fence", Value: []byte{byte(epoch)}} }
	settings := Settings{Lease: endive.Interval(lease), Renewal: endive.Interval(lease / 3), Retry: endive.Interval(100 * time.Millisecond)}
	r := &fixture{is: is.New(t), now: start}
	acquireAfter := func(freeSince time.Time) time.Time { return r.acquireDelay.After(freeSince) }
	ids := endive.NewWriteIDs("entry-1", "run-1", "elect")
	r.machine = New("entry-1", "run-1", "quoting", fence, acquireAfter, settings, steadyClock{start}, ids)
	return r
}

func (r *fixture) step(event endive.Event) []endive.Action { return r.machine.Step(r.now, event) }

// readRow passes the lease's row to the machine.
func (r *fixture) readRow() []endive.Action {
	return r.step(LeaseRow{Version: r.version, Value: r.value})
}

// writeAsOtherEntry replaces the lease's row without this entry's machine.
func (r *fixture) writeAsOtherEntry(row Lease) {
	r.version++
	r.value = row.encode()
}

// commitIn returns the first transaction among actions, if any.
func commitIn(actions []endive.Action) (endive.Transaction, bool) {
	for _, action := range actions {
		if commit, ok := action.(Commit); ok {
			return commit.Transaction, true
		}
	}
	return endive.Transaction{}, false
}

// commit applies the transaction among actions to the row and passes the result to the
// machine.
func (r *fixture) commit(actions []endive.Action) []endive.Action {
	txn, ok := commitIn(actions)
	r.is.True(ok) // the machine must write the lease
	r.is.Equal(txn.Conditions[0].Version, r.version)
	r.version++
	r.value = txn.Writes[0].Value
	event := endive.Committed{WriteID: txn.WriteID, Status: endive.CommitApplied}
	for range txn.Writes {
		event.Result.Versions = append(event.Result.Versions, r.version)
	}
	return r.step(event)
}

func (r *fixture) row() Lease {
	var row Lease
	r.is.NoErr(json.Unmarshal(r.value, &row))
	return row
}

func tenureBegan(actions []endive.Action) (TenureBegan, bool) {
	for _, action := range actions {
		if b, ok := action.(TenureBegan); ok {
			return b, true
		}
	}
	return TenureBegan{}, false
}

func tenureEnded(actions []endive.Action) bool {
	for _, action := range actions {
		if _, ok := action.(TenureEnded); ok {
			return true
		}
	}
	return false
}

func TestAcquiresFreePoolAndRenewsLease(t *testing.T) {
	r := newFixture(t)
	b, ok := tenureBegan(r.commit(r.readRow()))
	r.is.True(ok)
	r.is.Equal(b.Epoch, endive.Epoch(1))
	r.is.True(b.LeaseEnd.Before(r.now.Add(lease)))
	r.now = r.now.Add(lease / 2)
	actions := r.commit(r.step(endive.Wake{}))
	r.is.Equal(actions[0], TenureRenewed{LeaseEnd: r.now.Add(lease - safetyMargin)})
	r.is.Equal(r.row().Epoch, endive.Epoch(1))
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
	r.is.Equal(b.Epoch, endive.Epoch(5))
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
	r.is.Equal(b.Epoch, endive.Epoch(2))
}

func TestTenureEnds(t *testing.T) {
	tests := []struct {
		name  string
		event func(r *fixture) []endive.Action
	}{
		{"the row names another entry", func(r *fixture) []endive.Action {
			r.writeAsOtherEntry(Lease{Holder: "entry-2", Incarnation: "run-2", Epoch: 2, Until: 9000})
			return r.readRow()
		}},
		{"a worker refused the epoch", func(r *fixture) []endive.Action { return r.step(Fenced{Epoch: 1}) }},
		{"another entry reports a higher epoch", func(r *fixture) []endive.Action { return r.step(Superseded{Epoch: 2}) }},
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
	r.is.Equal(b.Epoch, endive.Epoch(8))
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
// row may have been any number up to the row's version, so the new epoch must be higher.
func TestAcquiresPoolWithMalformedLease(t *testing.T) {
	r := newFixture(t)
	r.version, r.value = 40, []byte("?")
	b, ok := tenureBegan(r.commit(r.readRow()))
	r.is.True(ok)
	r.is.Equal(b.Epoch, endive.Epoch(41))
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
