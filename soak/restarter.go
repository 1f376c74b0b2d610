package main

import (
	"context"
	"fmt"
	"hash/fnv"
	"math/rand"
	"strings"
	"sync"
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
	// maxRecut is the longest time between a worker's restart and its cut, and minRecutTime and maxRecutTime bound the
	// duration of the cut. Long cuts are rarer.
	maxRecut                   = 3 * time.Second
	minRecutTime, maxRecutTime = 500 * time.Millisecond, 35 * time.Second
	// maxHolderFaults is the largest number of faults of holders in one episode.
	maxHolderFaults = 3
	// maxHolderDelay is the longest time between the restarts and a fault of the holder, and maxHolderStop the longest time
	// for which one is stopped.
	maxHolderDelay, maxHolderStop = 5 * time.Second, 8 * time.Second
	// handOverPeriod is how many episodes there are for each one that hands the pool over at once. Those cut the workers off
	// within maxUnseenRecut, for minUnseenCut at least: calls to the former incarnations are carried out meanwhile.
	handOverPeriod = 4
	maxUnseenRecut = 500 * time.Millisecond
	minUnseenCut   = 12 * time.Second
	// isolatedTime is added to completionTimeout: tasks under which workers were killed start alone, one after the other, and
	// may run for longestTaskDuration each.
	isolatedTime = 2*longestTaskDuration + 6*time.Second
	// maxLoggedBody limits the part of a body that is logged.
	maxLoggedBody = 160
)

// restarter restarts workers under their ids, cuts them off soon after, and has calls to them carried out late.
type restarter struct {
	soak    *soak
	enabled bool
	// schedule is the name of the schedule of the episodes.
	schedule string
	seed     int64
	rand     *rand.Rand
	// handOvers draws the episodes that hand the pool over at once.
	handOvers *rand.Rand

	mu sync.Mutex
	// restarts counts the restarts, and late and former the late calls and those of them that the next incarnation got.
	restarts, late, former int
}

func newRestarter(s *soak, enabled bool, seed int64) *restarter {
	return &restarter{soak: s, enabled: enabled, schedule: scheduleOf(seed), seed: seed, rand: rand.New(rand.NewSource(seed + 3)), handOvers: rand.New(rand.NewSource(seed + 4))}
}

// run begins the episodes of the schedule until ctx is done.
func (r *restarter) run(ctx context.Context) {
	if !r.enabled {
		return
	}
	if d, ok := days[r.schedule]; ok {
		r.runDay(ctx, d)
		return
	}
	r.runDrawn(ctx)
}

// runDrawn begins random episodes until ctx is done. They may overlap.
func (r *restarter) runDrawn(ctx context.Context) {
	for {
		pause := minRestartPause + randomDuration(r.rand, maxRestartPause-minRestartPause)
		select {
		case <-ctx.Done():
			return
		case <-time.After(pause):
		}
		go r.draw().run()
	}
}

// draw returns a random episode, of a half of the main pool or of one worker.
func (r *restarter) draw() *episode {
	e := r.drawEpisode(r.soak.drawWorkers(r.rand))
	if r.handOvers.Intn(handOverPeriod) == 0 {
		e.handOver(r.handOvers)
	}
	return e
}

// drawEpisode returns a random episode of some workers.
func (r *restarter) drawEpisode(workers []*worker) *episode {
	e := &episode{soak: r.soak, workers: workers}
	if r.rand.Intn(3) > 0 {
		e.lateShare, e.lateAfter = r.rand.Float64(), r.rand.Intn(2) == 0
		e.lateTime = randomDuration(r.rand, maxLateTime)
	}
	for range e.workers {
		e.away = append(e.away, randomDuration(r.rand, maxAway))
	}
	e.awayMode = []mode{modeRefuse, modeDropAll}[r.rand.Intn(2)]
	e.cutAfter = randomDuration(r.rand, maxRecut)
	share := r.rand.Float64()
	e.cut = cut{
		mode:     []mode{modeRefuse, modeRefuse, modeDropAll, modeDropAll, modeDropResponses, modeHold, modeForward}[r.rand.Intn(7)],
		duration: minRecutTime + time.Duration(share*share*float64(maxRecutTime-minRecutTime)),
		listed:   r.rand.Intn(2) == 0,
	}
	// A cut without any effect on the entries is one from the store.
	e.cut.listed = e.cut.listed && e.cut.mode != modeForward
	for range r.rand.Intn(maxHolderFaults + 1) {
		e.holders = append(e.holders, r.drawHolderFault())
	}
	return e
}

// drawHolderFault returns a random fault of the main pool's holder.
func (r *restarter) drawHolderFault() *holderFault {
	return &holderFault{
		soak:    r.soak,
		kind:    []holderFaultKind{holderKilled, holderReplaced, holderStopped}[r.rand.Intn(3)],
		after:   randomDuration(r.rand, maxHolderDelay),
		stopped: randomDuration(r.rand, maxHolderStop),
		program: r.soak.upgrade.anyProgram(r.rand),
	}
}

// firstHalf returns the first half of the main pool's workers, as of a zone.
func (s *soak) firstHalf() []*worker { return s.workers[:s.mainWorkers/2] }

// drawWorkers returns the first half of the main pool's workers, or any one.
func (s *soak) drawWorkers(r *rand.Rand) []*worker {
	if r.Intn(2) == 0 {
		return s.firstHalf()
	}
	i := r.Intn(len(s.workers))
	return s.workers[i : i+1]
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
	return fmt.Sprintf("restarts (%s): %d workers, %d late calls, %d of them by the next incarnation", r.schedule, r.restarts, r.late, r.former)
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
