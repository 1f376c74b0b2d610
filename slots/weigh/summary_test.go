package weigh

import (
	"slices"
	"time"

	"endiveroute.example/endive"
)

// summary summarizes the requests of a period.
type summary struct {
	sent, answered, notRun, unknown, noRetryAt int
	// waits are the times from arrival to the first dispatch, and totals are
	// the times from arrival to the answer.
	waits, totals []time.Duration
}

// summarize summarizes the requests that arrived between since and until.
func (c *cell) summarize(since, until time.Time) summary {
	var f summary
	for _, r := range c.requests {
		if r.at.Before(since) || r.at.After(until) {
			continue
		}
		f.sent++
		switch r.outcome {
		case endive.Answered:
			f.answered++
			f.waits = append(f.waits, r.dispatched.Sub(r.at))
			f.totals = append(f.totals, r.done.Sub(r.at))
		case endive.NotRun:
			f.notRun++
		case endive.Unknown:
			f.unknown++
		}
		if r.noRetryAt {
			f.noRetryAt++
		}
	}
	slices.Sort(f.waits)
	slices.Sort(f.totals)
	return f
}

// quantile returns the q-quantile of sorted durations, in milliseconds.
func quantile(sorted []time.Duration, q float64) float64 {
	if len(sorted) == 0 {
		return 0
	}
	return float64(sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]) / 1e6
}
