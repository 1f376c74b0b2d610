package flow

import (
	"hash/fnv"
	"math/rand"
	"slices"
	"time"
)

// faults are the faults that the random plays draw. Each play begins with those of drawFaults and names, with a reason, the
// ones that it can't bear. What draws a fault is a method of the simulation that all plays pass through. So a new kind of
// fault is a field here, a value in drawFaults, and a draw where the fault happens by strikes with the field's name; playSeeds
// checks that each play draws it. The zero value has no faults.
type faults struct {
	// lostOrder is the probability that a call doesn't arrive, and lostAnswer that its answer doesn't.
	lostOrder, lostAnswer float64
	// lateOrder is the probability that an order to start or to stop gets no answer and is carried out seconds later, and
	// latePoll that of a poll.
	lateOrder, latePoll float64
	// cutCall is the probability that a call that is sent while the worker is cut off gets no answer and is carried out after
	// the cut.
	cutCall float64
	// repeatedCall is the probability that a call whose answer is lost is carried out once more seconds later.
	repeatedCall float64
	// delayedCall is the probability that a call, or its answer, arrives late but in time, after newer ones.
	delayedCall float64
	// lostWrite is the probability that a transaction doesn't arrive at the store, lostWriteAnswer that its answer is
	// lost, and lateWrite that it is committed seconds later.
	lostWrite, lostWriteAnswer, lateWrite float64
	// failedTask is the probability that a run fails, and lostAdvice that advice isn't answered.
	failedTask, lostAdvice float64
	// storePartitions is true if workers may lose the connection to the store and to later holders.
	storePartitions bool
	// randomClocks is true if the clock of each incarnation begins at a random number.
	randomClocks bool
	// slowClock is the probability that the clock of an incarnation has the lowest rate.
	slowClock float64
	// restartAgain is the probability that an incarnation that isn't the worker's first one is soon followed by another.
	restartAgain float64
	// staleList is the probability that a list of workers reaches a holder seconds after it was read.
	staleList float64
	// lateRows is the probability that rows reach a holder up to a second late, with the newer ones behind them, and
	// repeatedRows that they reach it once more if they are still the newest.
	lateRows, repeatedRows float64
}

// drawFaults returns the faults of a seed.
func drawFaults(seed int64) faults {
	f := faults{
		lostOrder: 0.02, lostAnswer: 0.02, lateOrder: 0.03, latePoll: 0.01, lostWrite: 0.02, lostWriteAnswer: 0.03, lateWrite: 0.03, failedTask: 0.03, lostAdvice: 0.05,
		randomClocks: true, slowClock: 0.4, cutCall: 0.3, repeatedCall: 0.3, delayedCall: 0.1,
		restartAgain: 0.25, staleList: 0.15, lateRows: 0.15, repeatedRows: 0.15,
	}
	f.storePartitions = seed%3 == 0 && !slices.Contains(regressionSeeds, seed)
	if seed%2 == 0 {
		// With even seeds many tasks fail, so that some reach MaxAttempts.
		f.failedTask = 0.3
	}
	return f
}

// drawsOf returns the random numbers of a kind of fault. Each kind has its own, so that a new one doesn't shift the draws of
// the others.
func (w *simulation) drawsOf(kind string) *rand.Rand {
	if w.draws[kind] == nil {
		hash := fnv.New64a()
		hash.Write([]byte(kind))
		w.draws[kind] = rand.New(rand.NewSource(w.seed ^ int64(hash.Sum64())))
	}
	return w.draws[kind]
}

// happens reports whether a fault happens that shares the simulation's random numbers, and counts it.
func (w *simulation) happens(kind string, probability float64) bool {
	happens := w.chance(probability)
	if happens {
		w.drawn[kind]++
	}
	return happens
}

// strikes reports whether a fault of a kind with its own random numbers happens, and counts it.
func (w *simulation) strikes(kind string, probability float64) bool {
	happens := probability > 0 && w.drawsOf(kind).Float64() < probability
	if happens {
		w.drawn[kind]++
	}
	return happens
}

// durationOf draws a duration below most for a kind of fault.
func (w *simulation) durationOf(kind string, most time.Duration) time.Duration {
	return time.Duration(w.drawsOf(kind).Int63n(int64(most)))
}
