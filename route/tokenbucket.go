package route

import (
	"time"

	"endiveroute.example/endive"
)

// tokenBucket limits a rate: tokens are added over time or by add, up to a
// capacity, and spend removes them.
type tokenBucket struct {
	tokens   float64
	capacity float64
	// perSecond is the refill rate; with 0, only add puts tokens in.
	perSecond float64
	refilled  time.Time
}

// add adds tokens, up to the capacity.
func (b *tokenBucket) add(n float64) {
	b.tokens = min(b.capacity, b.tokens+n)
}

// refill adds the tokens for the time since the last refill.
func (b *tokenBucket) refill(now time.Time) {
	if !b.refilled.IsZero() {
		b.add(now.Sub(b.refilled).Seconds() * b.perSecond)
	}
	b.refilled = now
}

// spend removes tokens and reports whether the bucket held enough. If more
// tokens than the capacity are requested, a full bucket is enough, and the
// level becomes negative.
func (b *tokenBucket) spend(n float64) bool {
	if b.tokens < min(n, b.capacity) || b.capacity <= 0 {
		return false
	}
	b.tokens -= n
	return true
}

// setRate changes the refill rate. The capacity is one second's refill.
func (b *tokenBucket) setRate(now time.Time, rate endive.Bytes) {
	b.refill(now)
	first := b.capacity == 0
	b.perSecond, b.capacity = float64(rate), float64(rate)
	b.tokens = min(b.tokens, b.capacity)
	if first {
		b.tokens = b.capacity
	}
}
