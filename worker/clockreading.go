package worker

import (
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"
)

// clockReading is what a worker's clock showed. Clocks of two machines are not
// compared: a clockReading is only ever carried forward by the time that has passed
// here since, and given back to the worker.
type clockReading struct {
	// incarnation tells two runs of a worker apart.
	incarnation string
	millis      int64
	// received is when the reading came; the worker read its clock before that.
	received time.Time
}

// parseClockReading reads "run:milliseconds".
func parseClockReading(text string, received time.Time) (clockReading, error) {
	incarnation, millis, ok := strings.Cut(text, ":")
	n, err := strconv.ParseInt(millis, 10, 64)
	if !ok || err != nil {
		return clockReading{}, errs.New("parseReading: %q is no worker's clock", text)
	}
	return clockReading{incarnation: incarnation, millis: n, received: received}, nil
}

// timestampAt returns a time on the worker's clock, as text. It is no later than the
// worker's clock will show timestampAt t, but for the drift of the clocks.
func (r clockReading) timestampAt(t time.Time) string {
	return r.incarnation + ":" + strconv.FormatInt(r.millis+t.Sub(r.received).Milliseconds(), 10)
}
