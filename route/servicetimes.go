package route

import (
	"slices"
	"time"
)

const (
	// maxSamples is how many service times a quantile is taken from.
	maxSamples = 256
	// quantileInterval is after how many new ones the quantile is taken again.
	quantileInterval = 16
	// meanWeight is the weight of a new service time in the mean.
	meanWeight = 0.05
)

// serviceTimes learns the service serviceTimes of a service, in seconds.
type serviceTimes struct {
	mean    float64
	p95     float64
	p99     float64
	samples []float64
	next    int
	count   int
}

// record learns from one attempt that took took seconds.
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

// silenceTimeout returns the age, in seconds, at which an attempt that was started
// with left seconds to its deadline counts as silent.
func (t *serviceTimes) silenceTimeout(remaining float64) float64 {
	if t.p95 == 0 {
		return remaining / 2
	}
	return max(t.p95, 2*t.mean)
}

// seconds turns a number of seconds into a duration.
func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }
