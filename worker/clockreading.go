package worker

import (
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// clockReading is a time read from a worker's clock. It is never compared with
// the clock of this process. It is only advanced by the time that has passed here
// since, and sent back to the same worker.
type clockReading struct {
	// incarnation identifies one run of the worker's process.
	incarnation string
	millis      int64
	// received is when this process received the reading. The worker read its clock
	// earlier.
	received time.Time
}

// parseClockReading parses "incarnation:milliseconds".
func parseClockReading(text string, received time.Time) (clockReading, error) {
	incarnation, millis, ok := strings.Cut(text, ":")
	n, err := strconv.ParseInt(millis, 10, 64)
	if !ok || err != nil {
		return clockReading{}, errs.New("parseClockReading: %q is not an incarnation and a number of milliseconds", text)
	}
	return clockReading{incarnation: incarnation, millis: n, received: received}, nil
}

// timestampAt returns t as a time on the worker's clock, in the format of
// parseClockReading. Apart from clock drift, it is no later than the time that the
// worker's clock will show at t.
func (r clockReading) timestampAt(t time.Time) string {
	return r.incarnation + ":" + strconv.FormatInt(r.millis+t.Sub(r.received).Milliseconds(), 10)
}
