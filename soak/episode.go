package main

import (
	"math/rand"
	"syscall"
	"time"
)

// episode restarts workers and cuts them off soon after, while holders of the main pool end or stop.
type episode struct {
	soak    *soak
	workers []*worker
	// lateShare is the share of the calls without an answer from lateTime before the restarts on: until the restarts, or
	// the cut if lateAfter is true.
	lateShare float64
	lateTime  time.Duration
	lateAfter bool
	// away has the time for which each worker is away, and awayMode what the callers see meanwhile.
	away     []time.Duration
	awayMode mode
	// cutAfter is the time between a worker's restart and its cut.
	cutAfter time.Duration
	cut      cut
	holders  []*holderFault
}

// handOver makes the holder end just after the restarts, so that the next one knows nothing of them and of the calls that
// are still to be carried out, and the cut too long for it to learn of them.
func (e *episode) handOver(r *rand.Rand) {
	e.lateShare, e.lateAfter = 0.3+0.5*r.Float64(), false
	e.lateTime = maxLateTime/2 + randomDuration(r, maxLateTime/2)
	e.cutAfter = randomDuration(r, maxUnseenRecut)
	e.cut.mode = []mode{modeRefuse, modeDropAll}[r.Intn(2)]
	e.cut.duration = minUnseenCut + randomDuration(r, maxRecutTime-minUnseenCut)
	e.holders = []*holderFault{{
		soak: e.soak, kind: []holderFaultKind{holderKilled, holderReplaced}[r.Intn(2)], after: randomDuration(r, maxAway),
		program: e.soak.upgrade.anyProgram(r),
	}}
}

func (e *episode) run() {
	e.soak.checks.events.add("restart of %s in %v, share %.2f of the calls late, then cut off after %v; %d faults of holders",
		names(e.workers), e.lateTime, e.lateShare, e.cutAfter, len(e.holders))
	late := &lateness{workers: e.workers, share: e.lateShare, duration: e.lateTime}
	if e.lateAfter {
		late.duration += maxAway + e.cutAfter
	}
	go late.run()
	time.Sleep(e.lateTime)
	for i, w := range e.workers {
		go (&awayWorker{soak: e.soak, worker: w, mode: e.awayMode, duration: e.away[i], cutAfter: e.cutAfter, cut: e.cut}).run()
	}
	for _, fault := range e.holders {
		go fault.run()
	}
}

// holderFaultKind is what happens to a holder.
type holderFaultKind string

const (
	holderKilled   holderFaultKind = "killed"
	holderReplaced holderFaultKind = "replaced"
	holderStopped  holderFaultKind = "stopped"
)

// holderFault ends or stops the entry that holds the main pool then.
type holderFault struct {
	soak  *soak
	kind  holderFaultKind
	after time.Duration
	// stopped is for how long a stopped holder stands still, and program what runs in place of one that ended.
	stopped time.Duration
	program string
}

func (f *holderFault) run() {
	time.Sleep(f.after)
	holder := f.soak.holder(mainPool)
	if holder == nil {
		return
	}
	f.soak.checks.events.add("%s, the holder, is %s", holder.name, f.kind)
	switch f.kind {
	case holderKilled:
		f.soak.restartEntry(holder, syscall.SIGKILL, f.program, &faultEnd{})
	case holderReplaced:
		f.soak.restartEntry(holder, syscall.SIGTERM, f.program, &faultEnd{})
	case holderStopped:
		holder.signal(syscall.SIGSTOP)
		time.Sleep(f.stopped)
		holder.signal(syscall.SIGCONT)
	}
}

// awayWorker restarts a worker that is away for a while, and cuts it off after that.
type awayWorker struct {
	soak     *soak
	worker   *worker
	mode     mode
	duration time.Duration
	cutAfter time.Duration
	cut      cut
}

func (a *awayWorker) run() {
	a.restart()
	time.Sleep(a.cutAfter)
	a.soak.cutOff(a.worker, a.cut)
}

// restart restarts the worker, unless it is cut off.
func (a *awayWorker) restart() {
	w := a.worker
	if !w.setCutOff(true, false) {
		return
	}
	w.proxy.beginCut(a.mode)
	a.soak.killWorker(w)
	a.soak.checks.events.add("%s is away for %v, mode %d", w.id, a.duration, a.mode)
	time.Sleep(a.duration)
	a.soak.startWorker(w)
	w.proxy.endCut()
	w.setCutOff(false, true)
	a.soak.checks.events.add("%s has started again", w.id)
	a.soak.restarter.count(&a.soak.restarter.restarts)
}
