package main

import (
	"fmt"
	"hash/fnv"
	"math/rand"
	"net"
	"os"
	"time"
)

const (
	// registrationLifetime is how long after its last registration the platform lists a worker.
	registrationLifetime = 3 * registerInterval
	// minCut and maxCut bound how long a worker is cut off from the entries and from the platform. Long cuts are rarer.
	minCut, maxCut = 1 * time.Second, 35 * time.Second
	// lastCutTime is how long cuts go on after the last fault.
	lastCutTime = 8 * time.Second
	// registerInterval is the time between two registrations of a worker.
	registerInterval = 1500 * time.Millisecond
	// longTaskDuration is the run time of the tasks of one step in longTaskPeriod, so that some outlast a lease.
	longTaskDuration = 7 * time.Second
	longTaskPeriod   = 8
	// longestTaskDuration is the run time of those of another step in longTaskPeriod, if workers restart.
	longestTaskDuration = 12 * time.Second
	// listenRetryDelay is the pause before a proxy tries again to listen at its address.
	listenRetryDelay = 20 * time.Millisecond
)

// runTime returns the run time of a task of the main pool. It is the same for all tasks of a step, since the members of a
// gang end together.
func (r *restarter) runTime(task string) time.Duration {
	if r.enabled && stepHash(task)%longTaskPeriod == 1 {
		return longestTaskDuration
	}
	return formerRunTime(task)
}

// formerRunTime returns the run time of a task of the bulk pool, and of all tasks if no workers restart.
func formerRunTime(task string) time.Duration {
	if stepHash(task)%longTaskPeriod == 0 {
		return longTaskDuration
	}
	return taskDuration
}

// stepHash returns a hash of the name of a task's step.
func stepHash(task string) uint32 {
	hash := fnv.New32a()
	// Writing to a hash never fails.
	_, _ = hash.Write([]byte(stepOf(task)))
	return hash.Sum32()
}

// cut is a time during which a worker is cut off: it runs on, and its connections are as in mode.
type cut struct {
	mode     mode
	duration time.Duration
	// listed is true if the worker still reaches the platform, so that it goes on registering itself.
	listed bool
}

// randomCut returns a cut of random kind and duration.
func randomCut(r *rand.Rand) cut {
	m := []mode{modeRefuse, modeRefuse, modeDropAll, modeDropResponses, modeHold}[r.Intn(5)]
	share := r.Float64()
	duration := minCut + time.Duration(share*share*share*float64(maxCut-minCut))
	return cut{mode: m, duration: duration, listed: r.Intn(5) == 0}
}

// cutOff cuts a worker off for a while. After registrationLifetime the platform doesn't list it any more.
func (s *soak) cutOff(w *worker, cut cut) {
	if !w.setCutOff(true, cut.listed) {
		return
	}
	s.checks.events.add("%s is cut off for %v, mode %d, listed %t", w.id, cut.duration, cut.mode, cut.listed)
	w.proxy.beginCut(cut.mode)
	if !cut.listed {
		time.AfterFunc(w.registeredFor(), (&expiry{soak: s, worker: w}).unlist)
	}
	go (&faultEnd{after: cut.duration, revert: func() { s.reconnect(w) }}).run()
}

// expiry removes the registration of a worker that is cut off.
type expiry struct {
	soak   *soak
	worker *worker
}

func (e *expiry) unlist() {
	e.worker.mu.Lock()
	defer e.worker.mu.Unlock()
	if !e.worker.registers && time.Since(e.worker.registeredAt) >= registrationLifetime {
		e.soak.checks.events.add("%s isn't listed any more", e.worker.id)
		e.soak.store.Remove("servers", "", e.worker.id)
	}
}

// reconnect ends the cut of a worker, if there is one.
func (s *soak) reconnect(w *worker) {
	if w.setCutOff(false, true) {
		w.proxy.endCut()
		s.checks.events.add("%s can be reached again", w.id)
	}
}

// setCutOff sets whether the worker is cut off and registers itself, and reports whether the former changed.
func (w *worker) setCutOff(cutOff, registers bool) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.cutOff == cutOff {
		return false
	}
	w.cutOff, w.registers = cutOff, registers
	return true
}

// beginCut makes the proxy treat its connections as in a mode, whatever other faults there are.
func (p *proxy) beginCut(m mode) {
	p.mu.Lock()
	p.cutMode = m
	p.mu.Unlock()
	if m == modeRefuse {
		p.refuse()
	}
}

// endCut ends a cut. Connections that have lost bytes deliver nothing more.
func (p *proxy) endCut() {
	p.mu.Lock()
	m := p.cutMode
	p.cutMode = modeForward
	p.mu.Unlock()
	switch m {
	case modeRefuse:
		p.accept()
	case modeDropAll, modeDropResponses:
		p.reset()
	}
}

// refuse makes the proxy close its listener and all connections.
func (p *proxy) refuse() {
	_ = p.currentListener().Close()
	p.reset()
}

// accept makes the proxy listen again at its address.
func (p *proxy) accept() {
	for {
		listener, err := net.Listen("tcp", p.address())
		if err != nil {
			fmt.Fprintln(os.Stderr, "soak: a proxy can't listen yet:", err)
			time.Sleep(listenRetryDelay)
			continue
		}
		p.mu.Lock()
		p.listener = listener
		p.mu.Unlock()
		go p.run()
		return
	}
}
