package main

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"endiveroute.example/endive/platform/stand"
)

// faultEnd reverts a fault after a delay.
type faultEnd struct {
	after  time.Duration
	revert func()
}

func (f *faultEnd) run() {
	time.Sleep(f.after)
	f.revert()
}

// injectFault injects a random fault and reverts it after duration. Faults may overlap.
func (s *soak) injectFault(duration time.Duration) {
	s.faultCount++
	e := s.faultyEntry()
	w := s.workers[s.rand.Intn(len(s.workers))]
	end := &faultEnd{after: duration, revert: func() {}}
	fault := s.rand.Intn(20)
	s.checks.events.add("fault %d for %v at %s and %s", fault, duration, e.name, w.id)
	switch fault {
	case 0:
		s.restartEntry(e, syscall.SIGKILL, s.nextProgram(), end)
	case 1:
		s.restartEntry(e, syscall.SIGTERM, s.nextProgram(), end)
	case 2:
		e.signal(syscall.SIGSTOP)
		end.revert = func() { e.signal(syscall.SIGCONT) }
	case 3, 4:
		m := []mode{modeDelay, modeDropAll, modeDropResponses}[s.rand.Intn(3)]
		e.storeProxy.setMode(m)
		end.revert = func() { e.storeProxy.setMode(modeForward) }
	case 5:
		e.storeProxy.reset()
	case 6, 7:
		m := []mode{modeDelay, modeDropAll, modeDropResponses, modeHold}[s.rand.Intn(4)]
		w.proxy.setMode(m)
		end.revert = func() { w.proxy.setMode(modeForward) }
	case 8:
		w.proxy.reset()
	case 9:
		s.restartWorker(w)
	case 10, 11:
		s.store.SetFault([]stand.Fault{stand.FaultBusy, stand.FaultNoResponse, stand.FaultResponseLost}[s.rand.Intn(3)])
		end.revert = func() { s.store.SetFault(stand.FaultNone) }
	case 12:
		s.store.DropHistory()
	case 13:
		for _, one := range s.entries {
			s.restartEntry(one, syscall.SIGKILL, s.nextProgram(), &faultEnd{})
		}
	case 14, 15:
		s.cutOff(w, randomCut(s.rand))
	case 16, 17:
		s.cutter.beginSeries()
	case 18, 19:
		s.cutPeers(e, end)
	}
	go end.run()
}

// faultyEntry returns an entry for a fault: the holder of the main pool, or any.
func (s *soak) faultyEntry() *entry {
	e := s.entries[s.rand.Intn(len(s.entries))]
	if s.rand.Intn(2) == 0 {
		return e
	}
	if holder := s.holder(mainPool); holder != nil {
		return holder
	}
	return e
}

// restartEntry terminates an entry's process with a signal and starts it again with a program.
func (s *soak) restartEntry(e *entry, signal syscall.Signal, program string, end *faultEnd) {
	e.restart.Lock()
	defer e.restart.Unlock()
	e.signal(syscall.SIGCONT)
	e.signal(signal)
	e.wait()
	end.revert = func() {}
	if err := s.startEntry(e, program); err != nil {
		fmt.Fprintln(os.Stderr, "soak: can't start an entry:", err)
	}
}

// restartWorker kills a worker and starts a new incarnation with the same id.
func (s *soak) restartWorker(w *worker) {
	s.killWorker(w)
	s.startWorker(w)
}

// killWorker kills the incarnation of a worker, and closes its connections.
func (s *soak) killWorker(w *worker) {
	w.mu.Lock()
	old := w.incarnation
	w.mu.Unlock()
	old.Kill()
	s.checks.markEndsLost(old.UnacknowledgedEnds())
	w.proxy.reset()
}

// revertFaults waits for the last faults to end, which cuts may outlast, and makes sure that all
// faults are reverted.
func (s *soak) revertFaults() {
	s.cutter.stop()
	time.Sleep(max(maxFaultDuration, lastCutTime))
	s.store.SetFault(stand.FaultNone)
	for _, e := range s.entries {
		e.signal(syscall.SIGCONT)
		e.storeProxy.setMode(modeForward)
	}
	for _, link := range s.peerLinks.all() {
		link.endCut()
	}
	for _, w := range s.workers {
		w.proxy.setMode(modeForward)
		s.reconnect(w)
	}
}
