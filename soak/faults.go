package main

import (
	"fmt"
	"os"
	"syscall"
	"time"

	"endiveroute.example/endive/platform/stand"
)

// undo ends a fault after a while.
type undo struct {
	after time.Duration
	do    func()
}

func (u *undo) run() {
	time.Sleep(u.after)
	u.do()
}

// fault injects one fault that lasts for a while. Faults overlap.
func (s *soak) fault(length time.Duration) {
	s.faults++
	e := s.entries[s.rand.Intn(len(s.entries))]
	w := s.workers[s.rand.Intn(len(s.workers))]
	later := &undo{after: length, do: func() {}}
	switch s.rand.Intn(14) {
	case 0:
		s.restart(e, syscall.SIGKILL, later)
	case 1:
		s.restart(e, syscall.SIGTERM, later)
	case 2:
		e.signal(syscall.SIGSTOP)
		later.do = func() { e.signal(syscall.SIGCONT) }
	case 3, 4:
		m := []mode{modeDelay, modeSilent, modeOneWay}[s.rand.Intn(3)]
		e.storeVia.set(m)
		later.do = func() { e.storeVia.set(modePass) }
	case 5:
		e.storeVia.reset()
	case 6, 7:
		m := []mode{modeDelay, modeSilent, modeOneWay}[s.rand.Intn(3)]
		w.via.set(m)
		later.do = func() { w.via.set(modePass) }
	case 8:
		w.via.reset()
	case 9:
		s.rebear(w)
	case 10, 11:
		s.store.SetFault([]stand.Fault{stand.FaultBusy, stand.FaultNoResponse, stand.FaultResponseLost}[s.rand.Intn(3)])
		later.do = func() { s.store.SetFault(stand.FaultNone) }
	case 12:
		s.store.DropHistory()
	case 13:
		for _, one := range s.entries {
			s.restart(one, syscall.SIGKILL, &undo{})
		}
	}
	go later.run()
}

// restart ends an entry's process by a signal, and starts it again.
func (s *soak) restart(e *entry, signal syscall.Signal, later *undo) {
	e.signal(syscall.SIGCONT)
	e.signal(signal)
	e.wait()
	later.do = func() {}
	if err := s.start(e); err != nil {
		fmt.Fprintln(os.Stderr, "an entry can't be started:", err)
	}
}

// rebear kills a worker; another life begins under its id.
func (s *soak) rebear(w *worker) {
	w.mu.Lock()
	old := w.life
	w.mu.Unlock()
	s.checks.forgotten(old.UnacknowledgedEnds())
	old.Kill()
	w.via.reset()
	if err := s.bear(w); err != nil {
		fmt.Fprintln(os.Stderr, "a worker can't be started:", err)
	}
}

// heal ends all faults.
func (s *soak) heal() {
	time.Sleep(faultTime)
	s.store.SetFault(stand.FaultNone)
	for _, e := range s.entries {
		e.signal(syscall.SIGCONT)
		e.storeVia.set(modePass)
	}
	for _, w := range s.workers {
		w.via.set(modePass)
	}
}
