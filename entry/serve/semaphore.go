package serve

import "sync/atomic"

// semaphore bounds what is in use at the same time. It never waits.
type semaphore struct {
	limit int64
	used  atomic.Int64
}

// newSemaphore returns a semaphore with nothing in use.
func newSemaphore(limit int64) *semaphore { return &semaphore{limit: limit} }

// acquire takes n, and reports whether there was enough.
func (s *semaphore) acquire(n int64) bool {
	if s.used.Add(n) > s.limit {
		s.used.Add(-n)
		return false
	}
	return true
}

// release gives n back.
func (s *semaphore) release(n int64) { s.used.Add(-n) }
