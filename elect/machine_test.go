package elect

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// steadyClock shows the platform's time as milliseconds since start.
type steadyClock struct{ start time.Time }

func (steadyClock) Known() bool { return true }
func (c steadyClock) AtLeast(at time.Time) endive.PlatformTime {
	return endive.PlatformTime(at.Sub(c.start).Milliseconds())
}
func (c steadyClock) Earliest(t endive.PlatformTime) time.Time {
	return c.start.Add(time.Duration(t) * time.Millisecond)
}

const lease = 2 * time.Second

// rig is one entry's machine with the store's row.
type rig struct {
	is      *is.I
	machine *Machine
	wait    endive.Interval
	now     time.Time
	version endive.Version
	value   []byte
}

func newRig(t *testing.T) *rig {
	start := time.Unix(1_800_000_000, 0)
	fence := func(epoch endive.Epoch) endive.Write { return endive.Write{Key: "fence", Value: []byte{byte(epoch)}} }
	settings := Settings{Lease: endive.Interval(lease), Renewal: endive.Interval(lease / 3), Retry: endive.Interval(100 * time.Millisecond)}
	r := &rig{is: is.New(t), now: start}
	due := func(freeSince time.Time) time.Time { return r.wait.After(freeSince) }
	ids := endive.NewWriteIDs("entry-1", "run-1", "elect")
	r.machine = New("entry-1", "run-1", "quoting", fence, due, settings, steadyClock{start}, ids)
	return r
}

func (r *rig) step(event endive.Event) []endive.Action { return r.machine.Step(r.now, event) }

// see reads the row.
func (r *rig) see() []endive.Action { return r.step(LeaseRow{Version: r.version, Value: r.value}) }

// others writes the row as another entry.
func (r *rig) others(row Lease) {
	r.version++
	r.value = row.encode()
}

// recordIn returns the transaction among actions, if there is one.
func recordIn(actions []endive.Action) (endive.Transaction, bool) {
	for _, action := range actions {
		if record, ok := action.(Commit); ok {
			return record.Transaction, true
		}
	}
	return endive.Transaction{}, false
}

// commit carries out the transaction among actions, and tells the machine.
func (r *rig) commit(actions []endive.Action) []endive.Action {
	txn, ok := recordIn(actions)
	r.is.True(ok) // the machine writes the lease
	r.is.Equal(txn.Conditions[0].Version, r.version)
	r.version++
	r.value = txn.Writes[0].Value
	event := endive.Committed{WriteID: txn.WriteID, Status: endive.CommitApplied}
	for range txn.Writes {
		event.Result.Versions = append(event.Result.Versions, r.version)
	}
	return r.step(event)
}

func (r *rig) row() Lease {
	var row Lease
	r.is.NoErr(json.Unmarshal(r.value, &row))
	return row
}

func began(actions []endive.Action) (TenureBegan, bool) {
	for _, action := range actions {
		if b, ok := action.(TenureBegan); ok {
			return b, true
		}
	}
	return TenureBegan{}, false
}

func lost(actions []endive.Action) bool {
	for _, action := range actions {
		if _, ok := action.(TenureEnded); ok {
			return true
		}
	}
	return false
}

func TestTakesAFreePoolAndRenewsIt(t *testing.T) {
	r := newRig(t)
	b, ok := began(r.commit(r.see()))
	r.is.True(ok)
	r.is.Equal(b.Epoch, endive.Epoch(1))
	r.is.True(b.Until.Before(r.now.Add(lease)))
	r.now = r.now.Add(lease / 2)
	actions := r.commit(r.step(endive.Wake{}))
	r.is.Equal(actions[0], TenureRenewed{Until: r.now.Add(lease - margin)})
	r.is.Equal(r.row().Epoch, endive.Epoch(1))
}

func TestLeavesAHeldPoolAlone(t *testing.T) {
	r := newRig(t)
	r.others(Lease{Holder: "entry-2", Incarnation: "run-2", Epoch: 4, Until: 1500})
	_, writes := recordIn(r.see())
	r.is.True(!writes)
	r.now = r.now.Add(1400 * time.Millisecond)
	_, writes = recordIn(r.step(endive.Wake{}))
	r.is.True(!writes)
	r.now = r.now.Add(200 * time.Millisecond)
	b, ok := began(r.commit(r.step(endive.Wake{})))
	r.is.True(ok)
	r.is.Equal(b.Epoch, endive.Epoch(5))
}

func TestWaitsForEntriesThatSuitBetter(t *testing.T) {
	r := newRig(t)
	r.wait = endive.Interval(300 * time.Millisecond)
	_, writes := recordIn(r.see())
	r.is.True(!writes)
	r.now = r.now.Add(299 * time.Millisecond)
	_, writes = recordIn(r.step(endive.Wake{}))
	r.is.True(!writes)
	r.now = r.now.Add(time.Millisecond)
	_, writes = recordIn(r.step(endive.Wake{}))
	r.is.True(writes)
}

// Two entries write at the same moment: the one whose condition doesn't hold has to
// read before it does anything else.
func TestLosesARace(t *testing.T) {
	r := newRig(t)
	txn, ok := recordIn(r.see())
	r.is.True(ok)
	r.others(Lease{Holder: "entry-2", Incarnation: "run-2", Epoch: 1, Until: 2000})
	actions := r.step(endive.Committed{WriteID: txn.WriteID, Status: endive.CommitConflict})
	r.is.Equal(actions[0], ReadLease{})
	_, writes := recordIn(r.see())
	r.is.True(!writes)
	r.is.True(!r.machine.Holding())
}

// The answer to a renewal is lost. The row tells that it was written.
func TestRenewalIsAnsweredByTheRow(t *testing.T) {
	r := newRig(t)
	r.commit(r.see())
	r.now = r.now.Add(lease / 2)
	txn, _ := recordIn(r.step(endive.Wake{}))
	r.version++
	r.value = txn.Writes[0].Value
	r.step(endive.Committed{WriteID: txn.WriteID, Status: endive.CommitUnknown})
	r.see()
	r.is.True(r.machine.Holding())
	r.now = r.now.Add(lease / 2)
	r.commit(r.step(endive.Wake{}))
	r.is.True(r.machine.Holding())
}

// The answer to a takeover is lost. Nobody else may take the pool meanwhile, so the
// entry takes it again at once, under a new epoch, since the fence's version isn't
// known.
func TestTakeoverIsRepeatedAfterALostAnswer(t *testing.T) {
	r := newRig(t)
	txn, _ := recordIn(r.see())
	r.version++
	r.value = txn.Writes[0].Value
	r.step(endive.Committed{WriteID: txn.WriteID, Status: endive.CommitUnknown})
	r.now = r.now.Add(lease)
	b, ok := began(r.commit(r.see()))
	r.is.True(ok)
	r.is.Equal(b.Epoch, endive.Epoch(2))
}

func TestStepsDownForAHigherEpoch(t *testing.T) {
	tests := []struct {
		name  string
		event func(r *rig) []endive.Action
	}{
		{"the row names another", func(r *rig) []endive.Action {
			r.others(Lease{Holder: "entry-2", Incarnation: "run-2", Epoch: 2, Until: 9000})
			return r.see()
		}},
		{"a worker refused the epoch", func(r *rig) []endive.Action { return r.step(Fenced{Epoch: 1}) }},
		{"another entry says so", func(r *rig) []endive.Action { return r.step(Superseded{Epoch: 2}) }},
		{"handed over", func(r *rig) []endive.Action { return r.commit(r.step(Release{})) }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			r := newRig(t)
			r.commit(r.see())
			r.is.True(lost(tt.event(r)))
			r.is.True(!r.machine.Holding())
		})
	}
}

func TestTakesAPoolThatWasHandedOver(t *testing.T) {
	r := newRig(t)
	r.others(Lease{Holder: "entry-2", Incarnation: "run-2", Epoch: 7, Until: 99000, Vacant: true})
	b, ok := began(r.commit(r.see()))
	r.is.True(ok)
	r.is.Equal(b.Epoch, endive.Epoch(8))
}

// A holder whose process has ended is replaced before its lease runs out, and one
// that renews it isn't.
func TestReplacesAHolderThatHasEnded(t *testing.T) {
	r := newRig(t)
	r.others(Lease{Holder: "entry-2", Incarnation: "run-2", Epoch: 4, Until: 1500})
	_, writes := recordIn(r.see())
	r.is.True(!writes)
	_, writes = recordIn(r.step(HolderSuspected{Holder: "entry-2", Incarnation: "run-1"}))
	r.is.True(!writes) // that was an earlier run of it
	b, ok := began(r.commit(r.step(HolderSuspected{Holder: "entry-2", Incarnation: "run-2"})))
	r.is.True(ok)
	r.is.Equal(b.PreviousUntil, r.now.Add(1500*time.Millisecond))

	r = newRig(t)
	r.wait = endive.Interval(50 * time.Millisecond)
	r.others(Lease{Holder: "entry-2", Incarnation: "run-2", Epoch: 4, Until: 1500})
	r.see()
	r.step(HolderSuspected{Holder: "entry-2", Incarnation: "run-2"})
	r.others(Lease{Holder: "entry-2", Incarnation: "run-2", Epoch: 4, Until: 2500})
	r.see()
	r.now = r.now.Add(time.Second)
	_, writes = recordIn(r.step(endive.Wake{}))
	r.is.True(!writes)
}

// A row that can't be read belongs to nobody, but its epoch may have been anything
// up to its version.
func TestRowThatCannotBeRead(t *testing.T) {
	r := newRig(t)
	r.version, r.value = 40, []byte("?")
	b, ok := began(r.commit(r.see()))
	r.is.True(ok)
	r.is.Equal(b.Epoch, endive.Epoch(41))
}

// The load: all entries end at once and start anew. The one that held the pool knows by its
// own name that the holder has ended, and takes it at once, though others suit as well;
// another entry waits until the lease has run out.
func TestEarlierProcessOfThisEntryHasEnded(t *testing.T) {
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
			r := newRig(t)
			r.wait = endive.Interval(time.Second)
			r.others(Lease{Holder: tt.holder, Incarnation: "run-0", Epoch: 4, Until: 1500})
			_, taken := recordIn(r.see())
			r.is.Equal(taken, tt.taken)
			r.is.True(r.machine.lastUntil.IsZero())
		})
	}
}

// A pool that its last holder leaves to this entry is taken at once, with the lease's row
// as it was left. One that another entry took meanwhile isn't.
func TestOfferedPoolIsTakenAtOnce(t *testing.T) {
	r := newRig(t)
	r.wait = endive.Interval(time.Second)
	r.others(Lease{Holder: "entry-2", Incarnation: "run-7", Epoch: 4, Until: 1500})
	r.see()
	r.others(Lease{Holder: "entry-2", Incarnation: "run-7", Epoch: 4, Until: 1500, Vacant: true})
	left := LeaseRow{Version: r.version, Value: r.value}
	txn, taken := recordIn(r.step(Offered{Lease: left}))
	r.is.True(taken)
	r.is.Equal(txn.Conditions[0].Version, left.Version)

	late := newRig(t)
	late.others(Lease{Holder: "entry-2", Incarnation: "run-7", Epoch: 4, Until: 1500, Vacant: true})
	old := LeaseRow{Version: late.version, Value: late.value}
	late.others(Lease{Holder: "entry-3", Incarnation: "run-1", Epoch: 5, Until: 1500})
	late.see()
	_, taken = recordIn(late.step(Offered{Lease: old}))
	late.is.True(!taken)
}
