package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand"
	"strings"
	"sync"
	"syscall"
	"time"

	"endiveroute.example/endive/platform/stand"
)

const (
	// minRestartPause and maxRestartPause bound the time between two episodes of restarts.
	minRestartPause, maxRestartPause = 1 * time.Second, 6 * time.Second
	// maxAway is the longest time between the end of an incarnation and the start of the next one.
	maxAway = 600 * time.Millisecond
	// maxLateTime is the longest time before the restarts during which calls are late.
	maxLateTime = 2 * time.Second
	// minRecut and maxRecut bound the time between the restarts and the cut, and minRecutTime and maxRecutTime the
	// duration of the cut. Long cuts are rarer.
	minRecut, maxRecut         = 500 * time.Millisecond, 3 * time.Second
	minRecutTime, maxRecutTime = 500 * time.Millisecond, 35 * time.Second
	// maxHolderDelay is the longest time between the restarts and the fault of the holder, and maxHolderFault the longest
	// time for which it is stopped.
	maxHolderDelay, maxHolderFault = 5 * time.Second, 5 * time.Second
	// handOverPeriod is how many episodes there are for each one that hands the pool over at once, and minUnseenCut the
	// shortest cut of those: calls to the former incarnations are carried out meanwhile.
	handOverPeriod = 4
	minUnseenCut   = 12 * time.Second
	// isolatedTime is added to completionTimeout: tasks under which workers were killed start alone, one after the other, and
	// may run for longestTaskDuration each.
	isolatedTime = 2*longestTaskDuration + 6*time.Second
	// maxLoggedBody limits the part of a body that is logged.
	maxLoggedBody = 160
)

// holderFault is what happens to the holder of the main pool in an episode.
type holderFault string

const (
	holderUnharmed holderFault = "unharmed"
	holderKilled   holderFault = "killed"
	holderReplaced holderFault = "replaced"
	holderStopped  holderFault = "stopped"
)

// restarter restarts workers under their ids, cuts them off soon after, and has calls to them carried out late.
type restarter struct {
	soak    *soak
	enabled bool
	seed    int64
	rand    *rand.Rand
	// handOvers draws the episodes that hand the pool over at once.
	handOvers *rand.Rand

	mu sync.Mutex
	// restarts counts the restarts, and late and former the late calls and those of them that the next incarnation got.
	restarts, late, former int
}

func newRestarter(s *soak, enabled bool, seed int64) *restarter {
	return &restarter{soak: s, enabled: enabled, seed: seed, rand: rand.New(rand.NewSource(seed + 3)), handOvers: rand.New(rand.NewSource(seed + 4))}
}

// run begins episodes until ctx is done. Episodes may overlap.
func (r *restarter) run(ctx context.Context) {
	for r.enabled {
		pause := minRestartPause + randomDuration(r.rand, maxRestartPause-minRestartPause)
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		go r.draw().run()
	}
}

// episode restarts workers and cuts them off.
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
	cutAfter time.Duration
	cut      cut
	// holder is the fault of the holder, holderAfter after the restarts.
	holder        holderFault
	holderAfter   time.Duration
	holderStopped time.Duration
	program       string
}

// draw returns a random episode, of a half of the main pool or of one worker.
func (r *restarter) draw() *episode {
	e := &episode{soak: r.soak, workers: r.soak.drawWorkers(r.rand)}
	if r.rand.Intn(3) > 0 {
		e.lateShare, e.lateAfter = r.rand.Float64(), r.rand.Intn(2) == 0
		e.lateTime = randomDuration(r.rand, maxLateTime)
	}
	for range e.workers {
		e.away = append(e.away, randomDuration(r.rand, maxAway))
	}
	e.awayMode = []mode{modeRefuse, modeDropAll}[r.rand.Intn(2)]
	e.cutAfter = minRecut + randomDuration(r.rand, maxRecut-minRecut)
	share := r.rand.Float64()
	e.cut = cut{
		mode:     []mode{modeRefuse, modeRefuse, modeDropAll, modeDropAll, modeDropResponses, modeHold, modeForward}[r.rand.Intn(7)],
		duration: minRecutTime + time.Duration(share*share*float64(maxRecutTime-minRecutTime)),
		listed:   r.rand.Intn(2) == 0,
	}
	// A cut without any effect on the entries is one from the store.
	e.cut.listed = e.cut.listed && e.cut.mode != modeForward
	e.holder = []holderFault{holderUnharmed, holderKilled, holderReplaced, holderStopped}[r.rand.Intn(4)]
	e.holderAfter, e.holderStopped = randomDuration(r.rand, maxHolderDelay), randomDuration(r.rand, maxHolderFault)
	e.program = r.soak.upgrade.anyProgram(r.rand)
	if r.handOvers.Intn(handOverPeriod) == 0 {
		e.handOver(r.handOvers)
	}
	return e
}

// handOver makes the holder end just after the restarts, so that the next one knows nothing of them and of the calls that
// are still to be carried out, and the cut too long for it to learn of them.
func (e *episode) handOver(r *rand.Rand) {
	e.lateShare, e.lateAfter = 0.3+0.5*r.Float64(), false
	e.lateTime = maxLateTime/2 + randomDuration(r, maxLateTime/2)
	e.cutAfter = minRecut
	e.cut.mode = []mode{modeRefuse, modeDropAll}[r.Intn(2)]
	e.cut.duration = minUnseenCut + randomDuration(r, maxRecutTime-minUnseenCut)
	e.holder = []holderFault{holderKilled, holderReplaced}[r.Intn(2)]
	e.holderAfter = randomDuration(r, maxAway)
}

// drawWorkers returns the first half of the main pool's workers, as of a zone, or any one.
func (s *soak) drawWorkers(r *rand.Rand) []*worker {
	if r.Intn(2) == 0 {
		return s.workers[:(len(s.workers)-bulkWorkers)/2]
	}
	i := r.Intn(len(s.workers))
	return s.workers[i : i+1]
}

func (e *episode) run() {
	e.soak.checks.events.add("restart of %s in %v, share %.2f of the calls late, then cut off after %v; the holder is %s after %v",
		names(e.workers), e.lateTime, e.lateShare, e.cutAfter, e.holder, e.holderAfter)
	late := &lateness{workers: e.workers, share: e.lateShare, duration: e.lateTime}
	if e.lateAfter {
		late.duration += maxAway + e.cutAfter
	}
	go late.run()
	time.Sleep(e.lateTime)
	for i, w := range e.workers {
		go (&awayWorker{soak: e.soak, worker: w, mode: e.awayMode, duration: e.away[i]}).run()
	}
	go (&faultEnd{after: e.holderAfter, revert: e.harmHolder}).run()
	time.Sleep(maxAway + e.cutAfter)
	for _, w := range e.workers {
		e.soak.cutOff(w, e.cut)
	}
}

// harmHolder does what the episode has for the holder of the main pool.
func (e *episode) harmHolder() {
	holder := e.soak.holder(mainPool)
	if holder == nil || e.holder == holderUnharmed {
		return
	}
	e.soak.checks.events.add("%s, the holder, is %s", holder.name, e.holder)
	switch e.holder {
	case holderKilled:
		e.soak.restartEntry(holder, syscall.SIGKILL, e.program, &faultEnd{})
	case holderReplaced:
		e.soak.restartEntry(holder, syscall.SIGTERM, e.program, &faultEnd{})
	case holderStopped:
		holder.signal(syscall.SIGSTOP)
		time.Sleep(e.holderStopped)
		holder.signal(syscall.SIGCONT)
	case holderUnharmed:
	}
}

// awayWorker restarts a worker that is away for a while.
type awayWorker struct {
	soak     *soak
	worker   *worker
	mode     mode
	duration time.Duration
}

// run restarts the worker, unless it is cut off.
func (a *awayWorker) run() {
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

// completionTimeout returns how long after the faults all accepted jobs must be completed.
func (r *restarter) completionTimeout() time.Duration {
	if r.enabled {
		return completionTimeout + isolatedTime
	}
	return completionTimeout
}

func (r *restarter) count(counter *int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	*counter++
}

// logLateCall logs a call that was carried out late.
func (s *soak) logLateCall(call stand.LateCall) {
	s.restarter.count(&s.restarter.late)
	to := "same"
	if call.Former {
		to = "next"
		s.restarter.count(&s.restarter.former)
	}
	s.checks.events.add("late call %s %.*s is carried out after %v by the %s incarnation of %s: %d %.*s", call.Path, maxLoggedBody, call.Body,
		call.Lateness, to, call.Worker.ID, call.Status, maxLoggedBody, strings.TrimSpace(call.Answer))
}

// lateSeed returns the seed of the calls to a worker that are late.
func (r *restarter) lateSeed(id string) int64 {
	hash := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = fmt.Fprint(hash, id, r.seed)
	return int64(hash.Sum32())
}

// summary describes what the restarter did.
func (r *restarter) summary() string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return fmt.Sprintf("restarts: %d workers, %d late calls, %d of them by the next incarnation", r.restarts, r.late, r.former)
}

func names(workers []*worker) string {
	var names []string
	for _, w := range workers {
		names = append(names, w.id)
	}
	return strings.Join(names, " ")
}

// randomDuration returns a random duration below limit.
func randomDuration(r *rand.Rand, limit time.Duration) time.Duration {
	return time.Duration(r.Int63n(int64(limit)))
}
