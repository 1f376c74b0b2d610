package route

import (
	"time"

	"endiveroute.example/endive"
)

// tokenBucket is a token bucket.
type tokenBucket struct {
	tokens   float64
	capacity float64
	// perSecond refills the bucket with time; 0 leaves that to add.
	perSecond float64
	refilled  time.Time
}

// add puts n tokens in.
func (b *tokenBucket) add(n float64) {
	b.tokens = min(b.capacity, b.tokens+n)
}

// refill puts in what the time since the last refill brings.
func (b *tokenBucket) refill(now time.Time) {
	if !b.refilled.IsZero() {
		b.add(now.Sub(b.refilled).Seconds() * b.perSecond)
	}
	b.refilled = now
}

// spend takes n tokens out and reports whether there were as many. A bucket
// whose bound is below n pays with all it holds when full.
func (b *tokenBucket) spend(n float64) bool {
	if b.tokens < min(n, b.capacity) || b.capacity <= 0 {
		return false
	}
	b.tokens -= n
	return true
}

// setRate changes the refill to rate bytes each second, with one second's worth
// to save up.
func (b *tokenBucket) setRate(now time.Time, rate endive.Bytes) {
	b.refill(now)
	first := b.capacity == 0
	b.perSecond, b.capacity = float64(rate), float64(rate)
	b.tokens = min(b.tokens, b.capacity)
	if first {
		b.tokens = b.capacity
	}
}
