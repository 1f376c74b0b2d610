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
	start, now   time.Time
	version      endive.Version
	value        []byte
}

func newFixture(t *testing.T) *fixture { return newFixtureOf(t, "entry-1", "run-1") }

// newFixtureOf returns the fixture of a process of an entry.
func newFixtureOf(t *testing.T, entry endive.EntryID, incarnation endive.Incarnation) *fixture {
	start := time.Unix(1_800_000_000, 0)
	fence := func(epoch endive.Epoch) endive.Write { return endive.Write{Key: "fence", Value: []byte{byte(epoch)}} }
	settings := Settings{Lease: endive.Interval(lease), Renewal: endive.Interval(lease / 3), Retry: endive.Interval(100 * time.Millisecond)}
	r := &fixture{is: is.New(t), start: start, now: start}
	acquireAfter := func(freeSince time.Time) time.Time { return r.acquireDelay.After(freeSince) }
	ids := endive.NewWriteIDs(entry, incarnation, "elect")
	r.machine = New(entry, incarnation, "quoting", fence, acquireAfter, settings, steadyClock{start}, ids)
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
	return r.step(r.apply(txn))
}

// apply applies a transaction to the row and returns the result.
func (r *fixture) apply(txn endive.Transaction) endive.Committed {
	r.is.Equal(txn.Conditions[0].Version, r.version)
	r.version++
	r.value = txn.Writes[0].Value
	event := endive.Committed{WriteID: txn.WriteID, Status: endive.CommitApplied}
	for range txn.Writes {
		event.Result.Versions = append(event.Result.Versions, r.version)
	}
	return event
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
