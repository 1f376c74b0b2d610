package load

import (
	"sync"
	"time"

	hdrhistogram "github.com/HdrHistogram/hdrhistogram-go"

	"endiveroute.example/endive"
)

// Bounds of the histograms, in microseconds.
const (
	minMicros         = 1
	maxMicros         = int64(10 * time.Minute / time.Microsecond)
	significantDigits = 3
)

// Result holds the counts and times of all arrivals of one kind.
type Result struct {
	Sent     int
	Answered int
	NotRun   int
	Unknown  int
	// Failed counts the responses with an error of the executor.
	Failed int
	// Wrong counts the responses that belong to another request.
	Wrong int
	// Latency is the time from a request's due time to its complete response, and
	// Waiting is the latency without the service time. Both are in microseconds and
	// include answered requests only.
	Latency *hdrhistogram.Histogram
	Waiting *hdrhistogram.Histogram
}

// Results collects the results of a load. It is safe for concurrent use, except for Kind
// and MaxDelay.
type Results struct {
	mu    sync.Mutex
	kinds map[Kind]*Result
	jobs  []endive.JobID
	// maxDelay is the longest time between an arrival's due time and its sending.
	maxDelay endive.Interval
}

// NewResults returns empty Results.
func NewResults() *Results {
	r := &Results{kinds: make(map[Kind]*Result)}
	for _, kind := range Kinds() {
		r.kinds[kind] = &Result{
			Latency: hdrhistogram.New(minMicros, maxMicros, significantDigits),
			Waiting: hdrhistogram.New(minMicros, maxMicros, significantDigits),
		}
	}
	return r
}

// Kind returns the result of a kind. It must not be called while the load runs.
func (r *Results) Kind(kind Kind) *Result { return r.kinds[kind] }

// Jobs returns the ids of the accepted jobs.
func (r *Results) Jobs() []endive.JobID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]endive.JobID(nil), r.jobs...)
}

// MaxDelay returns the longest time between an arrival's due time and its sending. A long
// delay means that the load generator itself is overloaded.
func (r *Results) MaxDelay() endive.Interval { return r.maxDelay }

// recordSent counts an arrival that is being sent, delay after its due time.
func (r *Results) recordSent(kind Kind, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kinds[kind].Sent++
	r.maxDelay = max(r.maxDelay, endive.Interval(delay))
}

// recordAnswered records the latency of a complete response and the service time
// included in it.
func (r *Results) recordAnswered(kind Kind, latency time.Duration, serviceTime endive.Interval) {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := r.kinds[kind]
	result.Answered++
	recordTime(result.Latency, latency)
	recordTime(result.Waiting, latency-time.Duration(serviceTime))
}

// recordTime adds a duration, limited to the histogram's bounds, to a histogram.
func recordTime(h *hdrhistogram.Histogram, d time.Duration) {
	// RecordValue fails only for values outside the bounds.
	_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}

// update applies a change to the result of a kind while holding the lock.
func (r *Results) update(kind Kind, change func(*Result)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r.kinds[kind])
}

// addJob adds the id of an accepted job.
func (r *Results) addJob(id endive.JobID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs = append(r.jobs, id)
}
