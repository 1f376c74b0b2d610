package quota

import (
	"flag"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"endiveroute.example/endive"
)

// seedCount is the number of seeds that the fault test plays.
var seedCount = flag.Int("seeds", 400, "the number of seeds of the fault test")

// world plays two pools with holders that change, as planned or while the former one goes on, calls whose answers are lost or
// that are carried out late, feeds that lag, and rows that are delivered late and again.
type world struct {
	t     *testing.T
	rng   *rand.Rand
	now   time.Time
	store *testStore
	cap   int64
	pools [2]*Stored
	// former are the holders that were replaced and don't know it yet; nil for none.
	former [2]*Stored
	// snapshots are the rows as of earlier times.
	snapshots [][]endive.Row
	epochs    [2]endive.Epoch
	running   [2]int64
	waiting   [2]int64
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
	switch w.rng.IntN(14) {
	case 0:
		w.replaceHolder(i)
	case 1:
		s.HandleRows(w.store.all(), true)
	case 11:
		w.snapshots = append(w.snapshots, w.store.all())
	case 12:
		w.deliverLate(s)
	case 13:
		w.stepFormer(i)
	case 10:
		w.phantom[i], w.former[i] = 0, nil
	case 2:
		w.waiting[i] = w.rng.Int64N(3 * capOfA)
	case 3:
		w.running[i] = w.rng.Int64N(w.running[i] + 1) // runs end
	case 4, 5:
		w.startRuns(i, s)
	case 6:
		if len(w.late) > 0 {
			n := w.rng.IntN(len(w.late))
			w.store.commit(w.late[n])
			w.late = append(w.late[:n], w.late[n+1:]...)
		}
	default:
		w.update(i, s)
	}
}

// replaceHolder replaces the holder of a pool: by one that gets its parts, or by one that knows nothing while it goes on.
func (w *world) replaceHolder(i int) {
	former := w.pools[i]
	w.epochs[i]++
	next := NewStored([]endive.PoolName{"p", "q"}[i], endive.NewWriteIDs("e", "1", fmt.Sprint(i, w.epochs[i])), 0.1)
	next.SetAccounts(accountA(w.cap), 2)
	next.Begin(w.epochs[i])
	w.pools[i], w.former[i] = next, nil
	w.phantom[i] = w.rng.Int64N(2 * capOfA)
	w.loading[i] = w.rng.IntN(2) == 0
	if w.rng.IntN(2) == 0 {
		next.TakeOver(former.HandOver())
		return
	}
	w.former[i] = former
}

// deliverLate delivers rows as of an earlier time, maybe not for the first time.
func (w *world) deliverLate(s *Stored) {
	if len(w.snapshots) > 0 {
		s.HandleRows(w.snapshots[w.rng.IntN(len(w.snapshots))], false)
	}
}

// stepFormer lets a former holder of a pool do one thing. It knows what runs in the pool.
func (w *world) stepFormer(i int) {
	former := w.former[i]
	if former == nil {
		return
	}
	switch w.rng.IntN(4) {
	case 0:
		w.deliverLate(former)
	case 1:
		w.update(i, former)
	default:
		w.startRuns(i, former)
	}
}

// startRuns starts what the pool's allowance permits, as its holder or a former one sees it.
func (w *world) startRuns(i int, s *Stored) {
	allowance, _ := s.Allowance("a")
	start := min(w.waiting[i], int64(allowance.Limit.Processors)-w.running[i]-w.possible(i, s))
	if start <= 0 || w.loading[i] && s != w.former[i] {
		return
	}
	before := w.running[0] + w.running[1]
	w.running[i] += start
	w.waiting[i] -= start
	if after := before + start; after > w.cap {
		w.t.Fatalf("a start brings the account from %d to %d of %d", before, after, w.cap)
	}
}

// possible returns what a holder counts of what an earlier one may have started, or may still start.
func (w *world) possible(i int, s *Stored) int64 {
	switch {
	case s == w.former[i]:
		return 0
	case w.former[i] != nil:
		return w.phantom[i] + w.waiting[i]
	default:
		return w.phantom[i]
	}
}

// update sends a transaction. Its answer may be lost, and then it may be applied later.
func (w *world) update(i int, s *Stored) {
	use := endive.QuotaUse{Running: processors(w.running[i] + w.possible(i, s)), Waiting: processors(w.waiting[i])}
	uses := map[endive.AccountName]endive.QuotaUse{"a": use}
	if w.loading[i] && s != w.former[i] {
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
	for seed := range uint64(*seedCount) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := &world{t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(0, 0), store: newTestStore(), cap: capOfA}
			for i := range w.pools {
				w.epochs[i] = 1
				w.pools[i] = newStored([]string{"p", "q"}[i], 1, w.store)
			}
			for range 600 {
				w.step()
			}
		})
	}
}
