package serve

import "sync/atomic"

// semaphore limits the total amount in use. It never blocks.
type semaphore struct {
	limit int64
	used  atomic.Int64
}

// newSemaphore returns a semaphore with nothing in use.
func newSemaphore(limit int64) *semaphore { return &semaphore{limit: limit} }

// acquire adds to the amount in use. It reports false, and adds nothing, if that
// would exceed the limit.
func (s *semaphore) acquire(n int64) bool {
	if s.used.Add(n) > s.limit {
		s.used.Add(-n)
		return false
	}
	return true
}

// release subtracts an acquired amount from the amount in use.
func (s *semaphore) release(n int64) { s.used.Add(-n) }
