package rows

import "time"

// limiter bounds the requests in each window of one second. It is not safe for
// concurrent use.
type limiter struct {
	perSecond int
	windowEnd time.Time
	requests  int
}

// allow counts a request at now, and reports whether it is within the limit.
func (b *limiter) allow(now time.Time) bool {
	if !now.Before(b.windowEnd) {
		b.windowEnd = now.Add(time.Second)
		b.requests = 0
	}
	b.requests++
	return b.requests <= b.perSecond
}
