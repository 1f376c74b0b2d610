package quota

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// testStore is a store of rows in which versions count the transactions.
type testStore struct {
	now     time.Time
	version endive.Version
	rows    map[string]endive.Row
}

func newTestStore() *testStore { return &testStore{rows: make(map[string]endive.Row)} }

// commit applies a transaction, or returns the rows that it conflicts with.
func (s *testStore) commit(txn endive.Transaction) endive.Committed {
	for _, condition := range txn.Conditions {
		if s.rows[condition.Key].Version != condition.Version {
			result := endive.Committed{WriteID: txn.WriteID, Status: endive.CommitConflict}
			for _, condition := range txn.Conditions {
				if row, ok := s.rows[condition.Key]; ok {
					result.Conflicts = append(result.Conflicts, row)
				}
			}
			return result
		}
	}
	s.version++
	result := endive.Committed{WriteID: txn.WriteID, Status: endive.CommitApplied}
	for _, write := range txn.Writes {
		s.rows[write.Key] = endive.Row{Key: write.Key, Version: s.version, Value: write.Value}
		result.Result.Versions = append(result.Result.Versions, s.version)
	}
	return result
}

func (s *testStore) all() []endive.Row {
	var rows []endive.Row
	for _, row := range s.rows {
		rows = append(rows, row)
	}
	return rows
}

const capOfA = 1000

func accountA(most int64) endive.Accounts {
	accounts, _ := endive.NewAccounts([]endive.Account{{Name: "a", Cap: endive.Resources{Processors: endive.MilliProcessors(most)}}})
	return accounts
}

func processors(n int64) endive.Resources {
	return endive.Resources{Processors: endive.MilliProcessors(n)}
}

func newStored(pool string, epoch endive.Epoch, store *testStore) *Stored {
	s := NewStored(endive.PoolName(pool), endive.NewWriteIDs("e", "1", pool+fmt.Sprint(epoch)), 0.1)
	s.SetAccounts(accountA(capOfA), 2)
	s.Begin(epoch)
	s.HandleRows(store.all(), true)
	return s
}

// run lets the pools update their parts several times, with all messages delivered at once.
func run(store *testStore, uses map[*Stored]endive.QuotaUse, rounds int) {
	for range rounds {
		store.now = store.now.Add(growInterval)
		now := store.now
		for s, use := range uses {
			s.HandleRows(store.all(), true)
			if change, ok := s.Update(now, map[endive.AccountName]endive.QuotaUse{"a": use}); ok {
				s.HandleCommitted(now, store.commit(change.Transaction))
			}
		}
	}
}

func limitOf(s *Stored) int64 {
	allowance, _ := s.Allowance("a")
	return int64(allowance.Limit.Processors)
}

// One pool wants all of the cap and then the other: each must get all of it but for what the
// other runs.
func TestWholeCapMovesBetweenPools(t *testing.T) {
	is := is.New(t)
	store := newTestStore()
	p, q := newStored("p", 1, store), newStored("q", 1, store)
	is.Equal(limitOf(p), int64(0)) // nothing before the holder's own row is written
	run(store, map[*Stored]endive.QuotaUse{p: {Running: processors(300), Waiting: processors(2000)}, q: {}}, 4)
	is.Equal(limitOf(p), int64(capOfA))
	run(store, map[*Stored]endive.QuotaUse{p: {Running: processors(200)}, q: {Waiting: processors(3000)}}, 4)
	is.Equal(limitOf(p), int64(200))
	is.Equal(limitOf(q), int64(800))
	run(store, map[*Stored]endive.QuotaUse{p: {}, q: {Running: processors(800), Waiting: processors(3000)}}, 4)
	is.Equal(limitOf(q), int64(capOfA))
	p.SetAccounts(accountA(0), 2)
	_, ok := p.Allowance("a")
	is.True(!ok) // no cap
}

// Both pools want more than the cap: each gets the same, but no more than it needs.
func TestPoolsShareCap(t *testing.T) {
	is := is.New(t)
	store := newTestStore()
	p, q := newStored("p", 1, store), newStored("q", 1, store)
	run(store, map[*Stored]endive.QuotaUse{p: {Running: processors(1000), Waiting: processors(2000)}, q: {}}, 4)
	run(store, map[*Stored]endive.QuotaUse{p: {Running: processors(700), Waiting: processors(2300)}, q: {Waiting: processors(1000)}}, 4)
	is.Equal(limitOf(p), int64(500)) // starts nothing more, though its part is still larger
	is.Equal(limitOf(q), int64(300))
	run(store, map[*Stored]endive.QuotaUse{p: {Running: processors(500), Waiting: processors(2300)}, q: {Running: processors(300), Waiting: processors(700)}}, 4)
	is.Equal(limitOf(q), int64(500))
	run(store, map[*Stored]endive.QuotaUse{p: {Running: processors(500), Waiting: processors(2300)}, q: {Running: processors(100)}}, 4)
	is.Equal(limitOf(q), int64(100)) // gives up what it doesn't need
	is.Equal(limitOf(p), int64(900))
}

// A gang larger than the cap runs alone, within the overage and one task.
func TestGangLargerThanTheCap(t *testing.T) {
	is := is.New(t)
	store := newTestStore()
	p, q := newStored("p", 1, store), newStored("q", 1, store)
	run(store, map[*Stored]endive.QuotaUse{p: {Waiting: processors(100)}, q: {Waiting: processors(100)}}, 3)
	gang := endive.QuotaUse{Waiting: processors(1300), Unit: processors(1300), Task: processors(260)}
	run(store, map[*Stored]endive.QuotaUse{p: gang, q: {Running: processors(100)}}, 6)
	allowance, _ := p.Allowance("a")
	is.True(allowance.Large.Processors < 1300) // the other pool still runs something
	run(store, map[*Stored]endive.QuotaUse{p: gang, q: {}}, 6)
	allowance, _ = p.Allowance("a")
	is.True(allowance.Large.Processors >= 1300)
	is.True(allowance.Large.Processors <= capOfA*11/10+260)
	is.Equal(limitOf(p), int64(capOfA)) // nothing else may exceed the cap
}

// A lowered cap binds all pools: what runs goes on, and nothing is started beyond it.
func TestLoweredCap(t *testing.T) {
	is := is.New(t)
	store := newTestStore()
	p, q := newStored("p", 1, store), newStored("q", 1, store)
	uses := map[*Stored]endive.QuotaUse{p: {Running: processors(500), Waiting: processors(500)}, q: {Running: processors(400), Waiting: processors(500)}}
	run(store, uses, 4)
	p.SetAccounts(accountA(300), 2)
	q.SetAccounts(accountA(300), 2)
	run(store, uses, 4)
	is.True(limitOf(p)+limitOf(q) <= 300)
}

// A pool has no part of a cap yet, only a need for one, when another holder takes it over: the
// holder must not panic, as each holder after it would.
func TestTakeoverOfPoolThatOnlyNeeds(t *testing.T) {
	is := is.New(t)
	store := newTestStore()
	p, q := newStored("p", 1, store), newStored("q", 1, store)
	all := map[*Stored]endive.QuotaUse{p: {Running: processors(capOfA)}, q: {}}
	run(store, all, 4)
	all[q] = endive.QuotaUse{Waiting: processors(500)}
	run(store, all, 4)
	next := newStored("q", 2, store)
	change, ok := next.Update(store.now, nil)
	is.True(ok)
	is.Equal(change.Reason, "epoch 2")
	next.HandleCommitted(store.now, store.commit(change.Transaction))
	delete(all, q)
	all[p], all[next] = endive.QuotaUse{Running: processors(400)}, endive.QuotaUse{Waiting: processors(500)}
	run(store, all, 4)
	is.Equal(limitOf(p)+limitOf(next), int64(capOfA))
	is.True(limitOf(next) >= 500)
}

// An entry of an earlier version, beside those of this one during an upgrade, panics when it takes
// over a pool whose row has no field for the parts.
func TestEarlierVersionTakesOverPoolThatOnlyNeeds(t *testing.T) {
	needs := map[endive.AccountName]amounts{"a": {500}}
	tests := []struct {
		name string
		row  parts
		want string
	}{
		{"nil", parts{Epoch: 2, Needs: needs}, `{"epoch":2,"parts":{"a":[0,0,0]},"needs":{"a":[500,0,0]}}`},
		{"empty", parts{Epoch: 2, Parts: map[endive.AccountName]amounts{}, Needs: needs}, `{"epoch":2,"parts":{"a":[0,0,0]},"needs":{"a":[500,0,0]}}`},
		{"a part", parts{Epoch: 2, Parts: map[endive.AccountName]amounts{"a": {1, 2, 3}}}, `{"epoch":2,"parts":{"a":[1,2,3]}}`},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			tt.row.addMissing()
			is.Equal(string(encodeParts(tt.row)), tt.want)
		})
	}
}

// world plays two pools with holders that change, calls whose answers are lost or that are
// carried out late, feeds that lag, and caps that change.
type world struct {
	t       *testing.T
	rng     *rand.Rand
	now     time.Time
	store   *testStore
	cap     int64
	pools   [2]*Stored
	epochs  [2]endive.Epoch
	running [2]int64
	waiting [2]int64
	// phantom is what a holder still counts of what an earlier one may have started.
	phantom [2]int64
	// loading is true while a new holder doesn't know yet what runs and waits.
	loading [2]bool
	late    []endive.Transaction
}

// step changes one thing.
func (w *world) step() {
	i := w.rng.IntN(2)
	s := w.pools[i]
	w.now = w.now.Add(time.Duration(w.rng.IntN(60)) * time.Millisecond)
	switch w.rng.IntN(11) {
	case 0:
		w.epochs[i]++
		w.pools[i] = NewStored([]endive.PoolName{"p", "q"}[i], endive.NewWriteIDs("e", "1", fmt.Sprint(i, w.epochs[i])), 0.1)
		w.pools[i].SetAccounts(accountA(w.cap), 2)
		w.pools[i].Begin(w.epochs[i])
		w.phantom[i] = w.rng.Int64N(2 * capOfA)
		w.loading[i] = w.rng.IntN(2) == 0
	case 1:
		s.HandleRows(w.store.all(), true)
	case 10:
		w.phantom[i] = 0
	case 2:
		w.waiting[i] = w.rng.Int64N(3 * capOfA)
	case 3:
		w.running[i] = w.rng.Int64N(w.running[i] + 1) // runs end
	case 4, 5:
		w.startRuns(i)
	case 6:
		if len(w.late) > 0 {
			n := w.rng.IntN(len(w.late))
			w.store.commit(w.late[n])
			w.late = append(w.late[:n], w.late[n+1:]...)
		}
	default:
		w.update(i)
	}
}

// startRuns starts what the pool's allowance permits.
func (w *world) startRuns(i int) {
	allowance, _ := w.pools[i].Allowance("a")
	start := min(w.waiting[i], int64(allowance.Limit.Processors)-w.running[i]-w.phantom[i])
	if start <= 0 || w.loading[i] {
		return
	}
	before := w.running[0] + w.running[1]
	w.running[i] += start
	w.waiting[i] -= start
	if after := before + start; after > w.cap {
		w.t.Fatalf("a start brings the account from %d to %d of %d", before, after, w.cap)
	}
}

// update sends a transaction. Its answer may be lost, and then it may be applied later.
func (w *world) update(i int) {
	s := w.pools[i]
	use := endive.QuotaUse{Running: processors(w.running[i] + w.phantom[i]), Waiting: processors(w.waiting[i])}
	uses := map[endive.AccountName]endive.QuotaUse{"a": use}
	if w.loading[i] {
		uses, w.loading[i] = nil, w.rng.IntN(2) == 0
	}
	change, ok := s.Update(w.now, uses)
	if !ok {
		return
	}
	txn := change.Transaction
	switch w.rng.IntN(6) {
	case 0:
		w.late = append(w.late, txn)
		s.HandleCommitted(w.now, endive.Committed{WriteID: txn.WriteID, Status: endive.CommitUnknown})
	case 1:
		w.store.commit(txn)
		s.HandleCommitted(w.now, endive.Committed{WriteID: txn.WriteID, Status: endive.CommitUnknown})
	case 2:
		s.HandleCommitted(w.now, endive.Committed{WriteID: txn.WriteID, Status: endive.CommitUnavailable})
	default:
		s.HandleCommitted(w.now, w.store.commit(txn))
	}
}

// Whatever happens to holders, calls and feeds, no start brings an account above its cap.
func TestPartsNeverSumToMoreThanTheCap(t *testing.T) {
	for seed := range uint64(400) {
		w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0), store: newTestStore(), cap: capOfA}
		for i := range w.pools {
			w.epochs[i] = 1
			w.pools[i] = newStored([]string{"p", "q"}[i], 1, w.store)
		}
		for range 600 {
			w.step()
		}
	}
}

// A pool needs something of a cap and has no part of it. The next holder panicked when it took over
// such a row, and the one after it, too.
func TestPanicAtRowWithNeedsAndNoParts(t *testing.T) {
	is := is.New(t)
	store := newTestStore()
	store.commit(endive.Transaction{Writes: []endive.Write{
		{Key: partsKey("p"), Value: encodeParts(parts{Epoch: 1, Needs: map[endive.AccountName]amounts{"a": {500}}})},
	}})
	p := newStored("p", 2, store)
	change, ok := p.Update(store.now, nil)
	is.True(ok)
	is.Equal(change.Reason, "epoch 2")
	p.HandleCommitted(store.now, store.commit(change.Transaction))
	run(store, map[*Stored]endive.QuotaUse{p: {Waiting: processors(500)}}, 3)
	is.True(limitOf(p) >= 500)
}

// While entries of the build 99b8d0f run beside today's, no row may be written that ends their
// processes: one with needs and no parts.
func TestNoRowWithNeedsAndNoParts(t *testing.T) {
	is := is.New(t)
	store := newTestStore()
	p, q := newStored("p", 1, store), newStored("q", 1, store)
	run(store, map[*Stored]endive.QuotaUse{p: {Running: processors(1000)}, q: {}}, 4)
	run(store, map[*Stored]endive.QuotaUse{p: {Running: processors(1000)}, q: {Waiting: processors(300)}}, 4)
	is.Equal(string(store.rows[partsKey("q")].Value), `{"epoch":1,"parts":{"a":[0,0,0]},"needs":{"a":[310,0,0]}}`)

	store.commit(endive.Transaction{Writes: []endive.Write{{Key: partsKey("q"), Value: []byte(`{"epoch":1,"needs":{"a":[310,0,0]}}`)}}})
	next := newStored("q", 2, store)
	change, ok := next.Update(store.now, nil)
	is.True(ok)
	next.HandleCommitted(store.now, store.commit(change.Transaction))
	is.Equal(string(store.rows[partsKey("q")].Value), `{"epoch":2,"parts":{"a":[0,0,0]},"needs":{"a":[310,0,0]}}`)
}

// A malformed row of parts must not end the process of the holder that takes the pool over, nor of
// those that read it.
func TestMalformedRows(t *testing.T) {
	values := []string{
		``, `null`, `[]`, `{}`, `{"parts":null,"needs":{"a":[1]}}`, `{"epoch":1,"parts":{},"needs":{}}`, `{"epoch":"x"}`, `{"parts":{"a":null}}`,
		`{"parts":{"other":[1,2,3,4]}}`, `{"epoch":1,"needs":{"other":[1,2,3]}}`, `{"epoch":-1}`,
	}
	for _, value := range values {
		t.Run(value, func(t *testing.T) {
			is := is.New(t)
			store := newTestStore()
			store.commit(endive.Transaction{Writes: []endive.Write{{Key: partsKey("p"), Value: []byte(value)}, {Key: growthKey, Value: []byte(value)}}})
			p, q := newStored("p", 2, store), newStored("q", 1, store)
			if change, ok := p.Update(store.now, nil); ok {
				p.HandleCommitted(store.now, store.commit(change.Transaction))
			}
			run(store, map[*Stored]endive.QuotaUse{p: {Waiting: processors(400)}, q: {Waiting: processors(400)}}, 6)
			is.True(limitOf(p) >= 400)
			is.True(limitOf(q) >= 400)
			is.True(limitOf(p)+limitOf(q) <= capOfA)
		})
	}
}
