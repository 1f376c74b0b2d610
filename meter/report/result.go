package report

import (
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"

	"endiveroute.example/endive"
	"endiveroute.example/endive/meter/costs"
	"endiveroute.example/endive/meter/load"
	"endiveroute.example/endive/meter/watch"
)

// RateResult holds the measurements at one rate of the load.
type RateResult struct {
	// Rate is in arrivals per second.
	Rate    float64         `json:"rate"`
	Kinds   []KindResult    `json:"kinds"`
	Packing []watch.Packing `json:"packing"`
	// MissedSamples counts the samples of packing with a failed query.
	MissedSamples int              `json:"missedSamples,omitempty"`
	Jobs          watch.JobResults `json:"jobs"`
	Cost          costs.Cost       `json:"cost"`
	// MaxDelay is the longest delay with which the load generator sent an arrival after the
	// arrival was due.
	MaxDelay endive.Interval `json:"late"`
	// Starts counts the starts of tasks on simulated workers, RestartedTasks
	// counts the tasks that were started more than once, and MaxCutRuns is the
	// maximum number of runs of one cut; each since the simulated services
	// started.
	Starts         int `json:"starts"`
	RestartedTasks int `json:"startedAgain"`
	MaxCutRuns     int `json:"mostRunsOfOneCut"`
}

// KindResult holds the counts and times of one kind of arrival.
type KindResult struct {
	Kind     load.Kind `json:"kind"`
	Sent     int       `json:"sent"`
	Answered int       `json:"answered"`
	NotRun   int       `json:"notRun"`
	Unknown  int       `json:"unknown"`
	Failed   int       `json:"failed"`
	Wrong    int       `json:"wrong"`
	// Latency is the time from a request's due time to its complete response, and
	// Waiting is the latency without the service time.
	Waiting Percentiles `json:"waiting"`
	Latency Percentiles `json:"latency"`
}

// Percentiles holds percentiles and the maximum of a latency or waiting time.
type Percentiles struct {
	P50 endive.Interval `json:"p50"`
	P90 endive.Interval `json:"p90"`
	P99 endive.Interval `json:"p99"`
	Max endive.Interval `json:"most"`
}

// NewKindResults returns the results of all kinds.
func NewKindResults(results *load.Results) []KindResult {
	var kinds []KindResult
	for _, kind := range load.Kinds() {
		r := results.Kind(kind)
		kinds = append(kinds, KindResult{
			Kind: kind, Sent: r.Sent, Answered: r.Answered, NotRun: r.NotRun, Unknown: r.Unknown, Failed: r.Failed, Wrong: r.Wrong,
			Waiting: newPercentiles(r.Waiting), Latency: newPercentiles(r.Latency),
		})
	}
	return kinds
}

// newPercentiles returns the percentiles of a histogram of microseconds.
func newPercentiles(h *hdrhistogram.Histogram) Percentiles {
	return Percentiles{fromMicros(h.ValueAtQuantile(50)), fromMicros(h.ValueAtQuantile(90)), fromMicros(h.ValueAtQuantile(99)), fromMicros(h.Max())}
}

// fromMicros converts microseconds to an interval.
func fromMicros(micros int64) endive.Interval {
	return endive.Interval(time.Duration(micros) * time.Microsecond)
}
