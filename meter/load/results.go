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

// Result is what became of all arrivals of one kind.
type Result struct {
	Sent     int
	Answered int
	NotRun   int
	Unknown  int
	// Failed counts the answers that carry an error of the executor.
	Failed int
	// Wrong counts the answers that belong to another request.
	Wrong int
	// Latency runs from when a request was due until its whole answer was there,
	// and Waiting is the same without the service time; in microseconds, of the
	// answered ones.
	Latency *hdrhistogram.Histogram
	Waiting *hdrhistogram.Histogram
}

// Results collects what becomes of a load. It is safe for concurrent use.
type Results struct {
	mu    sync.Mutex
	kinds map[Kind]*Result
	jobs  []endive.JobID
	// Late is the longest that an arrival was sent after it was due.
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

// Kind returns the result of a kind. It isn't used while the load runs.
func (r *Results) Kind(kind Kind) *Result { return r.kinds[kind] }

// Jobs returns the ids of the jobs that were taken.
func (r *Results) Jobs() []endive.JobID {
	r.mu.Lock()
	defer r.mu.Unlock()
	return append([]endive.JobID(nil), r.jobs...)
}

// MaxDelay returns the longest that an arrival was sent after it was due. A long one
// means that the load generator itself is overloaded.
func (r *Results) MaxDelay() endive.Interval { return r.maxDelay }

// recordSent counts an arrival that is recordSent now.
func (r *Results) recordSent(kind Kind, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.kinds[kind].Sent++
	r.maxDelay = max(r.maxDelay, endive.Interval(delay))
}

// recordAnswered records a whole answer: how long after it was due, and how much of
// that was asked for as service time.
func (r *Results) recordAnswered(kind Kind, latency time.Duration, serviceTime endive.Interval) {
	r.mu.Lock()
	defer r.mu.Unlock()
	result := r.kinds[kind]
	result.Answered++
	recordTime(result.Latency, latency)
	recordTime(result.Waiting, latency-time.Duration(serviceTime))
}

// recordTime adds a time to a histogram, within its bounds.
func recordTime(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is within the bounds, so that there is no error.
	_ = h.RecordValue(min(max(d.Microseconds(), minMicros), maxMicros))
}

// update changes the result of a kind.
func (r *Results) update(kind Kind, change func(*Result)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	change(r.kinds[kind])
}

// addJob adds a job that was taken.
func (r *Results) addJob(id endive.JobID) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.jobs = append(r.jobs, id)
}
