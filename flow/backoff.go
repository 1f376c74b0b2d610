package flow

import (
	"time"

	"endiveroute.example/endive"
)

// The runs of some tasks end again and again soon after their start: a service that fails at
// once, or a task whose leases expire. Long-running work and work with a schedule goes before most
// other work and has no limit of attempts, so without a pause such tasks would take all capacity
// for ever, and the work after them would never start.

const (
	// shortRunAge is the age below which a run that ends without a result counts as short.
	shortRunAge = 2 * time.Second
	// freeShortRuns is how many short runs in a row are restarted without a pause.
	freeShortRuns = 2
	// minRestartPause is the first pause; it doubles with each short run up to maxRestartPause.
	minRestartPause = 250 * time.Millisecond
	maxRestartPause = 2 * time.Second
)

// delayRestart delays the next start of a task whose runs end again and again soon after their
// start without a result. It is called before the run is removed.
func (m *Machine) delayRestart(r *run, kind endive.EndKind) {
	t := r.task
	if t == nil || !(kind == endive.EndLeaseExpired || kind == endive.EndFailed && t.step.spec.LongRunning) {
		return
	}
	if m.now.Sub(r.startedAt) >= shortRunAge {
		t.shortRuns = 0
		return
	}
	t.shortRuns++
	if t.shortRuns <= freeShortRuns {
		return
	}
	pause := minRestartPause
	for range t.shortRuns - freeShortRuns - 1 {
		pause = min(2*pause, maxRestartPause)
	}
	t.notBefore = m.now.Add(pause)
}
