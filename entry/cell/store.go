package cell

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"endiveroute.example/endive"
)

const (
	// reachableWindow is how long after the store's last answer the store counts as
	// reachable. The entry calls the store several times a second.
	reachableWindow = 2500 * time.Millisecond
	// A short call is overdue after overdueFactor times the mean latency, but not before
	// minOverdueTime. While a call is overdue the entry writes no new work, since it can't
	// report a submission as refused once a write without an answer may have stored it.
	minOverdueTime = 250 * time.Millisecond
	overdueFactor  = 4
	// latencyWeight is the weight of the newest call in the mean latency.
	latencyWeight = 0.2
	// minOutage is the shortest time without an answer that counts as an outage, in which
	// the registrations of workers may have expired.
	minOutage = 1500 * time.Millisecond
	// callerRetryAfter is the retry delay for clients whose submission was refused because
	// of the store, or is unconfirmed. It is short because clients wait for a few seconds
	// in all and a refusal costs little.
	callerRetryAfter = endive.Interval(time.Second)
	// slowExcess is the difference between the mean and the minimum latency above which
	// the store counts as slow.
	slowExcess = 60 * time.Millisecond
	// While the store is slow, the timeout of a submission is adaptiveTimeoutFactor times the
	// mean latency, up to maxAdaptiveTimeout: a retry would only queue behind the first call.
	adaptiveTimeoutFactor = 6
	maxAdaptiveTimeout    = 1300 * time.Millisecond
)

// Store wraps the platform's store and tracks its availability and latency as measured
// by this entry. It implements RowStore and is safe for concurrent use.
type Store struct {
	inner RowStore
	clock endive.Clock
	log   hclog.Logger

	mu        sync.Mutex
	available bool
	// lastAnswerAt is the time of the last answer. unavailableSince is the time of the failed
	// call with which the current outage began.
	lastAnswerAt     time.Time
	unavailableSince time.Time
	// recoveredAt is the time of the first answer after the last outage, and silentSince the time of
	// the last answer before that outage.
	recoveredAt time.Time
	silentSince time.Time
	// inFlight are the short calls without a result yet.
	inFlight map[*storeCall]bool
	// partitions tracks which partitions of the store don't answer.
	partitions partitionHealth
	// meanLatency is the moving average of the latency of short calls. minLatency is the
	// minimum of the latency of short calls.
	meanLatency endive.Interval
	minLatency  endive.Interval
}

// NewStore returns a Store that counts as unreachable until its first answer.
func NewStore(inner RowStore, clock endive.Clock, log hclog.Logger) *Store {
	return &Store{inner: inner, clock: clock, log: log, inFlight: make(map[*storeCall]bool), partitions: newPartitionHealth()}
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
	rows, err := s.inner.Read(s.observed(ctx, call), keys...)
	s.endCall(call, err)
	return rows, err
}

// Scan implements endive.Table.
func (s *Store) Scan(ctx context.Context, prefix string, after endive.Revision) (endive.Changes, error) {
	call := s.beginCall(partitionOf(prefix))
	changes, err := s.inner.Scan(s.observed(ctx, call), prefix, after)
	s.endCall(call, err)
	return changes, err
}

// Follow implements endive.RowFeed.
func (s *Store) Follow(ctx context.Context, prefix string, after endive.Revision, wait endive.Interval) (endive.Changes, error) {
	if wait > 0 {
		call := &storeCall{startedAt: s.clock.Now(), partition: partitionOf(prefix)}
		changes, err := s.inner.Follow(s.observed(ctx, call), prefix, after, wait)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.recordResult(*call, err)
		return changes, err
	}
	call := s.beginCall(partitionOf(prefix))
	changes, err := s.inner.Follow(s.observed(ctx, call), prefix, after, 0)
	s.endCall(call, err)
	return changes, err
}

// beginCall records the start of a short call to a partition.
func (s *Store) beginCall(partition string) *storeCall {
	s.mu.Lock()
	defer s.mu.Unlock()
	call := &storeCall{startedAt: s.clock.Now(), partition: partition}
	s.inFlight[call] = true
	return call
}

// endCall records the result and the latency of a short call.
func (s *Store) endCall(call *storeCall, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.inFlight, call)
	if isAnswer(err) {
		latency := call.latency(s.clock.Now())
		s.meanLatency += endive.Interval(latencyWeight * float64(latency-s.meanLatency))
		if s.minLatency == 0 || latency < s.minLatency {
			s.minLatency = latency
		}
	}
	s.recordResult(*call, err)
}

// isAnswer reports whether the store executed a call or rejected it with a definite reason.
func isAnswer(err error) bool {
	return err == nil || endive.ErrConflict.Has(err) || endive.ErrRejected.Has(err) || endive.ErrHistoryLost.Has(err)
}

// recordResult updates the availability by the result of a call. The caller holds the lock.
func (s *Store) recordResult(call storeCall, err error) {
	now := s.clock.Now()
	if isAnswer(err) {
		s.recordAnswer(call, now)
		return
	}
	if s.partitions.recordFailure(call, now) {
		s.log.Info("a part of the store doesn't answer", "part", call.partition, "error", err.Error())
		return
	}
	if s.available {
		s.available = false
		s.unavailableSince = now
		s.log.Warn("dependency is unavailable", "dependency", "store", "error", err.Error())
	}
}

// recordAnswer updates the availability by an answer, or by the beginning of one. The caller
// holds the lock.
func (s *Store) recordAnswer(call storeCall, now time.Time) {
	s.partitions.recordAnswer(call)
	if !s.available {
		s.log.Info("dependency is available again", "dependency", "store", "awayMillis", millisSince(now, s.unavailableSince))
	}
	if !s.lastAnswerAt.IsZero() && now.Sub(s.lastAnswerAt) > minOutage {
		s.recoveredAt, s.silentSince = now, s.lastAnswerAt
	}
	s.available, s.lastAnswerAt = true, now
}

// reachable reports whether the store has answered within reachableWindow.
func (s *Store) reachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.lastAnswerAt.IsZero() && s.clock.Now().Sub(s.lastAnswerAt) < reachableWindow
}

// lastCallAnswered reports whether the store answered the last call. Failed calls don't count
// if only their partition is affected.
func (s *Store) lastCallAnswered() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.available
}

// usable reports whether the store is expected to answer a write: it is available, and no
// call is overdue that began after all answered calls. An overdue call that began earlier
// affects its own partition only.
func (s *Store) usable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.available && !s.hasOverdueCall(func(call storeCall) bool { return !s.partitions.answeredLaterCall(call) })
}

// usableFor reports whether the store is expected to answer a write of the row with a key.
func (s *Store) usableFor(key string) bool {
	if !s.usable() {
		return false
	}
	partition := partitionOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.partitions.writable(partition, s.clock.Now()) && !s.hasOverdueCall(func(call storeCall) bool { return call.partition == partition })
}

// hasOverdueCall reports whether a matching call in flight is overdue. The caller holds the
// lock.
func (s *Store) hasOverdueCall(matches func(storeCall) bool) bool {
	now, limit := s.clock.Now(), max(minOverdueTime, time.Duration(overdueFactor*s.meanLatency))
	for call := range s.inFlight {
		if now.Sub(endive.Latest(call.startedAt, call.receivedAt)) > limit && matches(*call) {
			return true
		}
	}
	return false
}

// adaptiveTimeout returns the given timeout, or a longer one if the store is slow.
func (s *Store) adaptiveTimeout(base time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(base, min(time.Duration(adaptiveTimeoutFactor*s.meanLatency), maxAdaptiveTimeout))
}

// isSlow reports whether the mean latency is much above the minimum, which is mostly network
// latency.
func (s *Store) isSlow() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.meanLatency-s.minLatency) > slowExcess
}

// lastRecovery returns the time of the store's first answer after its last outage.
func (s *Store) lastRecovery() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.recoveredAt
}

// lastOutage returns when the store's last outage began and ended.
func (s *Store) lastOutage() (began, ended time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.silentSince, s.recoveredAt
}

// latencyFloor returns the minimum latency of the calls so far.
func (s *Store) latencyFloor() endive.Interval {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.minLatency
}

// millisSince returns the milliseconds from an earlier time to now, or 0 if the earlier
// time isn't set.
func millisSince(now, then time.Time) int64 {
	if then.IsZero() {
		return 0
	}
	return now.Sub(then).Milliseconds()
}
