package cell

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"endiveroute.example/endive"
)

const (
	// storePatience is how long after its last answer the store counts as there.
	// The entry asks several times a second.
	storePatience = 2500 * time.Millisecond
	// storeDoubt is how long a short call may take, and slowFactor how many times
	// its usual length, before new work isn't written any more: what is written and
	// not answered can't be called refused.
	storeDoubt = 250 * time.Millisecond
	slowFactor = 4
	// usualWeight is the weight of the newest call in the usual length.
	usualWeight = 0.2
	// outageLength is how long the store has to be silent for workers' entries to
	// lapse meanwhile.
	outageLength = 1500 * time.Millisecond
	// storeReturn is when callers should come back that were turned away for the store,
	// or whose fate isn't known. They wait for a few seconds in all, and a refusal
	// costs little.
	storeReturn = endive.Interval(time.Second)
	// slowCall is how much longer than the shortest a call usually takes in a slow store.
	slowCall = 60 * time.Millisecond
	// patientFactor times the usual length of a call is how long a submission is
	// waited for while the store is slow, within patientBound: another one would only
	// stand in the queue behind it.
	patientFactor = 6
	patientBound  = 1300 * time.Millisecond
)

// Store is the platform's store as this entry finds it: it remembers whether and
// how fast it answers. It implements Rows and is safe for concurrent use.
type Store struct {
	inner Rows
	clock endive.Clock
	log   hclog.Logger

	mu   sync.Mutex
	good bool
	// goodAt is when the store answered last, badSince when it was found not to.
	goodAt   time.Time
	badSince time.Time
	// backAt is when it answered again after an outage.
	backAt time.Time
	// open are the short calls on their way, by their numbers.
	open map[uint64]storeCall
	last uint64
	// parts tells which parts of the store don't answer.
	parts partHealth
	// usual is how long a short call takes, way the shortest that one took.
	usual endive.Interval
	way   endive.Interval
}

// NewStore returns a store that hasn't been asked yet.
func NewStore(inner Rows, clock endive.Clock, log hclog.Logger) *Store {
	return &Store{inner: inner, clock: clock, log: log, open: make(map[uint64]storeCall), parts: newPartHealth()}
}

// Commit implements endive.Table.
func (s *Store) Commit(ctx context.Context, txn endive.Transaction) (endive.CommitResult, error) {
	part := ""
	if len(txn.Writes) > 0 {
		part = partOf(txn.Writes[0].Key)
	}
	call := s.begin(part)
	result, err := s.inner.Commit(ctx, txn)
	s.end(call, err)
	return result, err
}

// Read implements endive.Table.
func (s *Store) Read(ctx context.Context, keys ...string) ([]endive.Row, error) {
	part := ""
	if len(keys) > 0 {
		part = partOf(keys[0])
	}
	call := s.begin(part)
	rows, err := s.inner.Read(ctx, keys...)
	s.end(call, err)
	return rows, err
}

// Scan implements endive.Table.
func (s *Store) Scan(ctx context.Context, prefix string, after endive.Revision) (endive.Changes, error) {
	call := s.begin(partOf(prefix))
	changes, err := s.inner.Scan(ctx, prefix, after)
	s.end(call, err)
	return changes, err
}

// Follow implements endive.RowFeed.
func (s *Store) Follow(ctx context.Context, prefix string, after endive.Revision, wait endive.Interval) (endive.Changes, error) {
	if wait > 0 {
		began := s.clock.Now()
		changes, err := s.inner.Follow(ctx, prefix, after, wait)
		s.mu.Lock()
		defer s.mu.Unlock()
		s.saw(storeCall{began: began, part: partOf(prefix)}, err)
		return changes, err
	}
	call := s.begin(partOf(prefix))
	changes, err := s.inner.Follow(ctx, prefix, after, 0)
	s.end(call, err)
	return changes, err
}

// begin notes that a short call to a part is on its way.
func (s *Store) begin(part string) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.last++
	s.open[s.last] = storeCall{began: s.clock.Now(), part: part}
	return s.last
}

// end takes in the result of a short call.
func (s *Store) end(number uint64, err error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	call := s.open[number]
	delete(s.open, number)
	if answered(err) {
		took := endive.Interval(s.clock.Now().Sub(call.began))
		s.usual += endive.Interval(usualWeight * float64(took-s.usual))
		if s.way == 0 || took < s.way {
			s.way = took
		}
	}
	s.saw(call, err)
}

// answered reports whether the store did what it was asked for, or said why not.
func answered(err error) bool {
	return err == nil || endive.ErrConflict.Has(err) || endive.ErrHistoryLost.Has(err)
}

// saw takes in the result of a call. The caller holds the lock.
func (s *Store) saw(call storeCall, err error) {
	now := s.clock.Now()
	if answered(err) {
		s.parts.answered(call)
		if !s.good {
			s.log.Info("dependency is back", "dependency", "store", "awayMillis", sinceMillis(now, s.badSince))
		}
		if !s.goodAt.IsZero() && now.Sub(s.goodAt) > outageLength {
			s.backAt = now
		}
		s.good, s.goodAt = true, now
		return
	}
	if s.parts.failed(call, now) {
		s.log.Info("a part of the store doesn't answer", "part", call.part, "error", err.Error())
		return
	}
	if s.good {
		s.good = false
		s.badSince = now
		s.log.Warn("dependency is lost", "dependency", "store", "error", err.Error())
	}
}

// reachable reports whether the store has answered lately.
func (s *Store) reachable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return !s.goodAt.IsZero() && s.clock.Now().Sub(s.goodAt) < storePatience
}

// answers reports whether the store answered the last call.
func (s *Store) answers() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.good
}

// usable reports whether a write may be expected to be answered: the store was there when
// it was called last, and no call is on its way for much longer than usual that began after
// all that were answered.
func (s *Store) usable() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.good && !s.overdue(func(call storeCall) bool { return !s.parts.isThere(call) })
}

// takes reports whether a write of a row may be expected to be answered.
func (s *Store) takes(key string) bool {
	if !s.usable() {
		return false
	}
	part := partOf(key)
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.parts.usable(part, s.clock.Now()) && !s.overdue(func(call storeCall) bool { return call.part == part })
}

// overdue reports whether one of some calls is on its way for much longer than usual. The
// caller holds the lock.
func (s *Store) overdue(counts func(storeCall) bool) bool {
	now, patience := s.clock.Now(), max(storeDoubt, time.Duration(slowFactor*s.usual))
	for _, call := range s.open {
		if now.Sub(call.began) > patience && counts(call) {
			return true
		}
	}
	return false
}

// patience returns how long to wait for the answer to a submission.
func (s *Store) patience(usually time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(usually, min(time.Duration(patientFactor*s.usual), patientBound))
}

// slow reports whether a call usually takes so long that its way doesn't count.
func (s *Store) slow() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Duration(s.usual-s.way) > slowCall
}

// returned returns when the store came back after its last outage.
func (s *Store) returned() time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.backAt
}

// distance returns the shortest time that the store took to answer.
func (s *Store) distance() endive.Interval {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.way
}

// sinceMillis returns the milliseconds from then to now, 0 where then isn't set.
func sinceMillis(now, then time.Time) int64 {
	if then.IsZero() {
		return 0
	}
	return now.Sub(then).Milliseconds()
}
