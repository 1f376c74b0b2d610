package route

import (
	"slices"
	"time"
)

const (
	// maxSamples is the number of most recent service times that quantiles are
	// computed from.
	maxSamples = 256
	// quantileInterval is the number of new samples after which the quantiles
	// are recomputed.
	quantileInterval = 16
	// meanWeight is the weight of a new sample in a moving average.
	meanWeight = 0.05
)

// serviceTimes keeps the mean and the quantiles of a service's service times,
// in seconds.
type serviceTimes struct {
	mean    float64
	p95     float64
	p99     float64
	samples []float64
	next    int
	count   int
}

// record adds the duration of one answered attempt, in seconds.
func (t *serviceTimes) record(duration float64) {
	if t.count == 0 {
		t.mean = duration
	}
	t.mean += max(meanWeight, 1/float64(t.count+1)) * (duration - t.mean)
	if len(t.samples) < maxSamples {
		t.samples = append(t.samples, duration)
	} else {
		t.samples[t.next] = duration
		t.next = (t.next + 1) % maxSamples
	}
	t.count++
	if t.count%quantileInterval == 0 {
		sorted := slices.Clone(t.samples)
		slices.Sort(sorted)
		t.p95 = sorted[len(sorted)*95/100]
		t.p99 = sorted[len(sorted)*99/100]
	}
}

// silenceTimeout returns the age, in seconds, at which an attempt counts as
// silent. remaining is the time from the attempt's start to its deadline.
func (t *serviceTimes) silenceTimeout(remaining float64) float64 {
	if t.p95 == 0 {
		return remaining / 2
	}
	return max(t.p95, 2*t.mean)
}

// seconds converts a number of seconds to a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
