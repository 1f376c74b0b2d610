package cell

import "sync"

// configUpdates notifies those that wait for a newer or confirmed configuration. It is safe for
// concurrent use.
type configUpdates struct {
	mu      sync.Mutex
	changed chan struct{}
}

// next returns a channel that is closed at the next notification.
func (n *configUpdates) next() <-chan struct{} {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.changed == nil {
		n.changed = make(chan struct{})
	}
	return n.changed
}

// notify wakes those that wait.
func (n *configUpdates) notify() {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.changed != nil {
		close(n.changed)
		n.changed = nil
	}
}
