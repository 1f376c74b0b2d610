package elect

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/fakes"
)

// faults are the probabilities of the faults that a simulation draws, each for one call, message or tick.
type faults struct {
	// Calls of the store: not performed, performed late, performed without an answer, refused, and answered slowly.
	lostWrite, lateWrite, lostWriteAnswer, refusedWrite, slowAnswer float64
	// lateRow is that of a read of the lease that is delivered once more, late.
	lateRow float64
	// Messages between entries: lost, and delivered once more, late, also to the next process.
	lostMessage, lateMessage float64
	// Entries, in each tick: cut off from the store, killed, frozen, stopped as planned, and wrongly suspected.
	cut, kill, freeze, stop, suspect float64
}

// hostile are the faults of the random simulation.
var hostile = faults{
	lostWrite: 0.04, lateWrite: 0.04, lostWriteAnswer: 0.08, refusedWrite: 0.02, slowAnswer: 0.05, lateRow: 0.05, lostMessage: 0.1, lateMessage: 0.1,
	cut: 0.01, kill: 0.005, freeze: 0.005, stop: 0.015, suspect: 0.005,
}

const (
	storeLatency = 4 * time.Millisecond
	storeTimeout = 800 * time.Millisecond
	peerLatency  = time.Millisecond
	tick         = 100 * time.Millisecond
	// longestDelay is how late a call or a message may arrive.
	longestDelay = 6 * time.Second
	// clockError is the most by which an entry's bounds of the store's clock are apart.
	clockError = 40 * time.Millisecond
	// stopTime is how long a process runs after it has received the signal to terminate.
	stopTime = 3 * time.Second
)

// simulation is a pool's lease in virtual time, with entries that all want to hold the pool. The clock of the store counts
// the milliseconds since start.
type simulation struct {
	t          *testing.T
	random     *rand.Rand
	faults     faults
	start, now time.Time
	timers     fakes.Timers
	version    endive.Version
	value      []byte
	entries    []*entry
	// started is the number of processes that have started.
	started    int
	violations []string
	// begun are the epochs of the tenures that have begun.
	begun map[endive.Epoch]bool
}

// entry is an entry with its current process; nil while there is none.
type entry struct {
	id      endive.EntryID
	process *process
}

// boundedClock is an entry's view of the store's clock.
type boundedClock struct {
	start           time.Time
	early, lateness time.Duration
}

func (boundedClock) Known() bool { return true }
func (c boundedClock) AtLeast(at time.Time) endive.PlatformTime {
	return endive.PlatformTime(at.Add(-c.lateness).Sub(c.start).Milliseconds())
}
func (c boundedClock) Earliest(t endive.PlatformTime) time.Time {
	return c.start.Add(time.Duration(t)*time.Millisecond - c.early)
}

func newSimulation(t *testing.T, seed uint64, f faults, entries int) *simulation {
	start := time.Unix(1_800_000_000, 0)
	w := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 1)), faults: f, start: start, now: start, begun: make(map[endive.Epoch]bool)}
	for i := range entries {
		e := &entry{id: endive.EntryID(fmt.Sprint("entry-", i))}
		w.entries = append(w.entries, e)
		w.startProcess(e)
	}
	return w
}

// startProcess starts the next process of an entry.
func (w *simulation) startProcess(e *entry) {
	p := &process{sim: w, entry: e, incarnation: endive.Incarnation(fmt.Sprint("run-", w.started))}
	fence := func(epoch endive.Epoch) endive.Write {
		return endive.Write{Key: "fence", Value: binary.BigEndian.AppendUint64(nil, uint64(epoch))}
	}
	delay := endive.Interval(w.upTo(300 * time.Millisecond))
	acquireAfter := func(freeSince time.Time) time.Time { return delay.After(freeSince) }
	settings := Settings{Lease: endive.Interval(lease), Renewal: endive.Interval(lease / 3), Retry: endive.Interval(250 * time.Millisecond)}
	clock := boundedClock{start: w.start, early: w.upTo(clockError / 2), lateness: w.upTo(clockError / 2)}
	p.machine = New(e.id, p.incarnation, "quoting", fence, acquireAfter, settings, clock, endive.NewWriteIDs(e.id, p.incarnation, "elect"))
	e.process = p
	w.started++
	w.after(w.upTo(tick), p.tick)
}

func (w *simulation) chance(probability float64) bool { return w.random.Float64() < probability }

// upTo returns a random duration below d.
func (w *simulation) upTo(d time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(d)))
}

// after calls do after a delay.
func (w *simulation) after(delay time.Duration, do func()) {
	w.timers.Add(w.now.Add(delay), do)
}

// run plays the simulation until the given time after its start.
func (w *simulation) run(until time.Duration) {
	end := w.start.Add(until)
	for at, do, ok := w.timers.Next(end); ok; at, do, ok = w.timers.Next(end) {
		w.now = at
		do()
		w.check()
	}
	w.now = end
}

// check records a violation if an earlier holder acts after the time that a later one has as the end of its lease.
func (w *simulation) check() {
	holders := w.holders()
	for _, early := range holders {
		for _, late := range holders {
			if early.acts() && late.tenure.Epoch > early.tenure.Epoch && w.now.After(late.tenure.PreviousLeaseEnd) {
				w.violate("%s acts under epoch %d, though %s holds epoch %d and was told that nobody does after %.3f",
					early.entry.id, early.tenure.Epoch, late.entry.id, late.tenure.Epoch, late.tenure.PreviousLeaseEnd.Sub(w.start).Seconds())
			}
		}
	}
}

// violate records a violation, the first ones only.
func (w *simulation) violate(format string, args ...any) {
	if len(w.violations) < 3 {
		w.violations = append(w.violations, fmt.Sprintf("%.3f: ", w.now.Sub(w.start).Seconds())+fmt.Sprintf(format, args...))
	}
}

// deliver sends a message to an entry, of which there may be another process when it arrives.
func (w *simulation) deliver(e *entry, message endive.Event) {
	receive := func() {
		if e.process != nil {
			e.process.step(message)
		}
	}
	if w.chance(w.faults.lateMessage) {
		w.after(w.upTo(longestDelay), receive)
	}
	if !w.chance(w.faults.lostMessage) {
		w.after(peerLatency, receive)
	}
}

// answerLatency returns how long an answer of the store takes, which may be overtaken by others.
func (w *simulation) answerLatency() time.Duration {
	if w.chance(w.faults.slowAnswer) {
		return storeLatency + w.upTo(storeTimeout/2)
	}
	return storeLatency
}

// apply performs a transaction if its condition holds.
func (w *simulation) apply(txn endive.Transaction) endive.Committed {
	if txn.Conditions[0].Version != w.version {
		return endive.Committed{WriteID: txn.WriteID, Status: endive.CommitConflict}
	}
	w.version++
	w.value = txn.Writes[0].Value
	result := endive.Committed{WriteID: txn.WriteID, Status: endive.CommitApplied}
	for range txn.Writes {
		result.Result.Versions = append(result.Result.Versions, w.version)
	}
	return result
}

// holders returns the processes that hold the pool.
func (w *simulation) holders() []*process {
	var holders []*process
	for _, e := range w.entries {
		if e.process != nil && e.process.machine.Holding() {
			holders = append(holders, e.process)
		}
	}
	return holders
}
