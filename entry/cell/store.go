package cell

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"endiveroute.example/endive"
)

const (
	// reachableWindow is how long after its last answer the store counts as there.
	// The entry asks several times a second.
	reachableWindow = 2500 * time.Millisecond
	// minOverdueTime is how long a short call may take, and overdueFactor how many times
	// its usual length, before new work isn't written any more: what is written and
	// not answered can't be called refused.
	minOverdueTime = 250 * time.Millisecond
	overdueFactor  = 4
	// latencyWeight is the weight of the newest call in the usual length.
	latencyWeight = 0.2
	// minOutage is how long the store has to be silent for workers' entries to
	// lapse meanwhile.
	minOutage = 1500 * time.Millisecond
	// callerRetryAfter is when callers should come back that were turned away for the store,
	// or whose fate isn't known. They wait for a few seconds in all, and a refusal
	// costs little.
	callerRetryAfter = endive.Interval(time.Second)
	// slowExcess is how much longer than the shortest a call usually takes in a slow store.
	slowExcess = 60 * time.Millisecond
	// adaptiveTimeoutFactor times the usual length of a call is how long a submission is
	// waited for while the store is slow, within maxAdaptiveTimeout: another one would only
	// stand in the queue behind it.
	adaptiveTimeoutFactor = 6
	maxAdaptiveTimeout    = 1300 * time.Millisecond
)

// Store is the platform's store as this entry finds it: it remembers whether and
// how fast it answers. It implements RowStore and is safe for concurrent use.
type Store struct {
	inner RowStore
	clock endive.Clock
	log   hclog.Logger

	mu        sync.Mutex
	available bool
	// lastAnswerAt is when the store answered last, unavailableSince when it was found not to.
	lastAnswerAt     time.Time
	unavailableSince time.Time
	// recoveredAt is when it answered again after an outage.
	recoveredAt time.Time
	// inFlight are the short calls on their way, by their numbers.
	inFlight map[uint64]storeCall
	lastCall uint64
	// partitions tells which parts of the store don't answer.
	partitions partitionHealth
	// meanLatency is how long a short call takes, minLatency the shortest that one took.
	meanLatency endive.Interval
	minLatency  endive.Interval
}

// NewStore returns a store that hasn't been asked yet.
func NewStore(inner RowStore, clock endive.Clock, log hclog.Logger) *Store {
	return &Store{inner: inner, clock: clock, log: log, inFlight: make(map[uint64]storeCall), partitions: newPartitionHealth()}
}

// Commit implements endive.Table.
func (s *Store) Commit(ctx context.Context, txn endive.Transaction) (endive.CommitResult, error) {
	partition := ""
	if len(txn.Writes) > 0 {
		partition = partitionOf(txn.Writes[0].Key)
	}
	call := s.beginCall(partition)
	result, err := s.inner.Commit(ctx, txn)
	s.endCall(call, err)
	return result, err
}

// Read implements endive.Table.
func (s *Store) Read(ctx context.Context, keys ...string) ([]endive.Row, error) {
	partition := ""
	if len(keys) > 0 {
		partition = partitionOf(keys[0])
	}
	call := s.beginCall(partition)
	rows, err := s.inner.Read(ctx, keys...)
	s.endCall(call, err)
	return rows, err
}

// Scan implements endive.Table.
func (s *Store) Scan(ctx context.Context, prefix string, after endive.Revision) (endive.Changes, error) {
	call := s.beginCall(partitionOf(prefix))
	changes, err := s.inner.Scan(ctx, prefix, after)
	s.endCall(call, err)
	return changes, err
}

// Follow implements endive.RowFeed.
func (s *Store) Follow(ctx context.Context, prefix string, after endive.Revision, wait endive.Interval) (endive.Changes, error) {
	if wait > 0 {
		began := s.clock.Now()
		changes, err := s.inner.Follow(ctx, prefix, after, wait)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.recordResult(storeCall{began: began, partition: partitionOf(prefix)}, err)
		return changes, err
	}
	call := s.beginCall(partitionOf(prefix))
	changes, err := s.inner.Follow(ctx, prefix, after, 0)
	s.endCall(call, err)
	return changes, err
}

// beginCall notes that a short call to a part is on its way.
func (s *Store) beginCall(partition string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lastCall++
	s.inFlight[s.lastCall] = storeCall{began: s.clock.Now(), partition: partition}
	return s.lastCall
}

// endCall takes in the result of a short call.
func (s *Store) endCall(number uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	call := s.inFlight[number]
	delete(s.inFlight, number)
	if isAnswer(err) {
		latency := endive.Interval(s.clock.Now().Sub(call.began))
		s.meanLatency += endive.Interval(latencyWeight * float64(latency-s.meanLatency))
		if s.minLatency == 0 || latency < s.minLatency {
			s.minLatency = latency
		}
	}
	s.recordResult(call, err)
}

// isAnswer reports whether the store did what it was asked for, or said why not.
func isAnswer(err error) bool {
	return err == nil || endive.ErrConflict.Has(err) || endive.ErrHistoryLost.Has(err)
}

// recordResult takes in the result of a call. The caller holds the lock.
func (s *Store) recordResult(call storeCall, err error) {
	now := s.clock.Now()
	if isAnswer(err) {
		s.partitions.recordAnswer(call)
		if !s.available {
			s.log.Info("dependency is back", "dependency", "store", "awayMillis", millisSince(now, s.unavailableSince))
		}
		if !s.lastAnswerAt.IsZero() && now.Sub(s.lastAnswerAt) > minOutage {
			s.recoveredAt = now
		}
		s.available, s.lastAnswerAt = true, now
		return
	}
	if s.partitions.recordFailure(call, now) {
		s.log.Info("a part of the store doesn't answer", "part", call.partition, "error", err.Error())
		return
	}
	if s.available {
		s.available = false
		s.unavailableSince = now
		s.log.Warn("dependency is lost", "dependency", "store", "error", err.Error())
	}
}

// reachable reports whether the store has answered lately.
func (s *Store) reachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lastAnswerAt.IsZero() && s.clock.Now().Sub(s.lastAnswerAt) < reachableWindow
}

// lastCallAnswered reports whether the store answered the last call.
func (s *Store) lastCallAnswered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.available
}

// usable reports whether a write may be expected to be answered: the store was there when
// it was called last, and no call is on its way for much longer than usual that began after
// all that were answered.
func (s *Store) usable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.available && !s.hasOverdueCall(func(call storeCall) bool { return !s.partitions.answeredLaterCall(call) })
}

// usableFor reports whether a write of a row may be expected to be answered.
func (s *Store) usableFor(key string) bool {
	if !s.usable() {
		return false
	}
	partition := partitionOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.partitions.writable(partition, s.clock.Now()) && !s.hasOverdueCall(func(call storeCall) bool { return call.partition == partition })
}

// hasOverdueCall reports whether one of some calls is on its way for much longer than usual. The
// caller holds the lock.
func (s *Store) hasOverdueCall(matches func(storeCall) bool) bool {
	now, limit := s.clock.Now(), max(minOverdueTime, time.Duration(overdueFactor*s.meanLatency))
	for _, call := range s.inFlight {
		if now.Sub(call.began) > limit && matches(call) {
			return true
		}
	}
	return false
}

// adaptiveTimeout returns how long to wait for the answer to a submission.
func (s *Store) adaptiveTimeout(base time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(base, min(time.Duration(adaptiveTimeoutFactor*s.meanLatency), maxAdaptiveTimeout))
}

// isSlow reports whether a call usually takes so long that its way doesn't count.
func (s *Store) isSlow() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.meanLatency-s.minLatency) > slowExcess
}

// lastRecovery returns when the store came back after its last outage.
func (s *Store) lastRecovery() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recoveredAt
}

// latencyFloor returns the shortest time that the store took to answer.
func (s *Store) latencyFloor() endive.Interval {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.minLatency
}

// millisSince returns the milliseconds from then to now, 0 where then isn't set.
func millisSince(now, then time.Time) int64 {
	if then.IsZero() {
		return 0
	}
	return now.Sub(then).Milliseconds()
}
