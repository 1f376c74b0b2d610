package report

import (
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"

	"endiveroute.example/endive"
	"endiveroute.example/endive/meter/costs"
	"endiveroute.example/endive/meter/load"
	"endiveroute.example/endive/meter/watch"
)

// RateResult is what one rate of the load has measured.
type RateResult struct {
	// Rate is in arrivals a second.
	Rate    float64         `json:"rate"`
	Kinds   []KindResult    `json:"kinds"`
	Packing []watch.Packing `json:"packing"`
	// MissedSamples counts the samples of packing that couldn't be taken.
	MissedSamples int              `json:"missedSamples,omitempty"`
	Jobs          watch.JobResults `json:"jobs"`
	Cost          costs.Cost       `json:"cost"`
	// MaxDelay is the longest that an arrival was sent after it was due.
	MaxDelay endive.Interval `json:"late"`
	// Starts counts the task starts on the stand-ins so far, StartedAgain the
	// tasks that were started more than once, and MostCutRuns the most runs of one
	// cut; each since the stand-ins started.
	Starts         int `json:"starts"`
	RestartedTasks int `json:"startedAgain"`
	MaxCutRuns     int `json:"mostRunsOfOneCut"`
}

// KindResult is what became of one kind of arrivals.
type KindResult struct {
	Kind     load.Kind `json:"kind"`
	Sent     int       `json:"sent"`
	Answered int       `json:"answered"`
	NotRun   int       `json:"notRun"`
	Unknown  int       `json:"unknown"`
	Failed   int       `json:"failed"`
	Wrong    int       `json:"wrong"`
	// Waiting is the time from when a request was due until its answer, without
	// the service time that it asked for; Latency is with it.
	Waiting Percentiles `json:"waiting"`
	Latency Percentiles `json:"latency"`
}

// Percentiles are percentiles.
type Percentiles struct {
	P50 endive.Interval `json:"p50"`
	P90 endive.Interval `json:"p90"`
	P99 endive.Interval `json:"p99"`
	Max endive.Interval `json:"most"`
}

// NewKindResults returns the kinds of results.
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

// fromMicros returns microseconds as an fromMicros.
func fromMicros(micros int64) endive.Interval {
	return endive.Interval(time.Duration(micros) * time.Microsecond)
}
