package fault

import "sync"

// ConnNumber numbers the connections that the simulated services accept, in the
// order of their acceptance.
type ConnNumber uint64

// activeFault is a fault that is switched on.
type activeFault struct {
	Fault
	// remaining is the number of requests that the fault still affects, if Count
	// is not 0.
	remaining int
	// lastConn is the newest connection at the time the fault was switched on.
	lastConn ConnNumber
}

// Set is the set of faults that are switched on. It is safe for concurrent use.
type Set struct {
	mu      sync.Mutex
	faults  []*activeFault
	conns   ConnNumber
	changed chan struct{}
}

// NewSet returns a set with the given faults switched on.
func NewSet(faults ...Fault) *Set {
	s := &Set{changed: make(chan struct{})}
	for _, f := range faults {
		s.Switch(Switch{Fault: f, On: true})
	}
	return s
}

// NextConn returns the number of a new connection.
func (s *Set) NextConn() ConnNumber {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.conns++
	return s.conns
}

// Switch turns a fault on or off. Turning one on replaces a fault with the same
// part, instance, region and kind.
func (s *Set) Switch(sw Switch) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var others []*activeFault
	for _, a := range s.faults {
		if !a.sameSelector(sw.Fault) {
			others = append(others, a)
		}
	}
	if sw.On {
		others = append(others, &activeFault{Fault: sw.Fault, remaining: sw.Count, lastConn: s.conns})
	}
	s.faults = others
	close(s.changed)
	s.changed = make(chan struct{})
}

// Clear turns all faults off.
func (s *Set) Clear() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = nil
	close(s.changed)
	s.changed = make(chan struct{})
}

// List returns the faults that are switched on, with their remaining counts.
func (s *Set) List() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := make(Faults, 0, len(s.faults))
	for _, a := range s.faults {
		listed := a.Fault
		listed.Count = a.remaining
		list = append(list, listed)
	}
	return list
}

// Hit returns the first fault of a kind that affects a request to the target, and
// decrements its remaining count if it has one. The fault is removed when the
// count reaches 0.
func (s *Set) Hit(t Target, kind Kind) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for i, a := range s.faults {
		if !a.matches(t, kind) {
			continue
		}
		if a.Count > 0 {
			a.remaining--
			if a.remaining == 0 {
				s.faults = append(s.faults[:i:i], s.faults[i+1:]...)
			}
		}
		return a.Fault, true
	}
	return Fault{}, false
}

// On returns the first fault of a kind that affects the target, without changing
// its remaining count.
func (s *Set) On(t Target, kind Kind) (Fault, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.faults {
		if a.matches(t, kind) {
			return a.Fault, true
		}
	}
	return Fault{}, false
}

// Silenced reports whether fault Silent affects a connection to the target.
func (s *Set) Silenced(t Target, conn ConnNumber) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, a := range s.faults {
		if a.matches(t, Silent) && conn <= a.lastConn {
			return true
		}
	}
	return false
}

// Changed returns a channel that is closed when the set changes next.
func (s *Set) Changed() <-chan struct{} {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.changed
}
