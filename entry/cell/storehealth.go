package cell

import (
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"

	"endiveroute.example/endive"
)

// storeHealth remembers whether the store answers this entry.
type storeHealth struct {
	clock endive.Clock
	log   hclog.Logger

	mu   sync.Mutex
	good bool
	// goodAt is when the store answered last, badSince when it was found not to.
	goodAt   time.Time
	badSince time.Time
	// backAt is when it answered again after an outage.
	backAt time.Time
}

const (
	// storePatience is how long after its last answer the store counts as there.
	// The entry asks several times a second.
	storePatience = 2500 * time.Millisecond
	// outageLength is how long the store has to be silent for workers' entries to
	// lapse meanwhile.
	outageLength = 1500 * time.Millisecond
)

// saw takes in the result of a call.
func (h *storeHealth) saw(err error) {
	now := h.clock.Now()
	h.mu.Lock()
	defer h.mu.Unlock()
	if err == nil || endive.ErrConflict.Has(err) || endive.ErrHistoryLost.Has(err) {
		if !h.good {
			h.log.Info("dependency is back", "dependency", "store", "awayMillis", sinceMillis(now, h.badSince))
		}
		if !h.goodAt.IsZero() && now.Sub(h.goodAt) > outageLength {
			h.backAt = now
		}
		h.good, h.goodAt = true, now
		return
	}
	if h.good {
		h.good = false
		h.badSince = now
		h.log.Warn("dependency is lost", "dependency", "store", "error", err.Error())
	}
}

// reachable reports whether the store can be reckoned with.
func (h *storeHealth) reachable() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.goodAt.IsZero() && h.clock.Now().Sub(h.goodAt) < storePatience
}

// returned returns when the store came back after its last outage.
func (h *storeHealth) returned() time.Time {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.backAt
}

// sinceMillis returns the milliseconds from then to now, 0 where then isn't set.
func sinceMillis(now, then time.Time) int64 {
	if then.IsZero() {
		return 0
	}
	return now.Sub(then).Milliseconds()
}
