package gauge

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strconv"
	"strings"
	"time"

	tally "github.com/uber-go/tally/v4"
)

// series is one metric of a Page. Reports add to the value of a counter, replace the value
// of a gauge, and add to the count and the sum of seconds of a timer.
type series struct {
	page     *Page
	name     string
	tags     string
	value    float64
	hasValue bool
	count    int64
	sum      float64
	isTimer  bool
	buckets  map[float64]*bucket
}

// key returns the key by which a page sorts its series.
func (s *series) key() string { return s.name + "\x00" + s.tags }

// bucket counts the histogram samples above the previous bound and up to its own bound.
type bucket struct {
	series *series
	count  int64
}

// ReportCount implements tally.CachedCount.
func (s *series) ReportCount(value int64) {
	s.page.mu.Lock()
	defer s.page.mu.Unlock()
	s.hasValue = true
	s.value += float64(value)
}

// ReportGauge implements tally.CachedGauge.
func (s *series) ReportGauge(value float64) {
	s.page.mu.Lock()
	defer s.page.mu.Unlock()
	s.hasValue = true
	s.value = value
}

// ReportTimer implements tally.CachedTimer.
func (s *series) ReportTimer(interval time.Duration) {
	s.page.mu.Lock()
	defer s.page.mu.Unlock()
	s.isTimer = true
	s.count++
	s.sum += interval.Seconds()
}

// ValueBucket implements tally.CachedHistogram.
func (s *series) ValueBucket(_, upper float64) tally.CachedHistogramBucket {
	s.page.mu.Lock()
	defer s.page.mu.Unlock()
	if s.buckets[upper] == nil {
		s.buckets[upper] = &bucket{series: s}
	}
	return s.buckets[upper]
}

// DurationBucket implements tally.CachedHistogram. Bounds are in seconds.
func (s *series) DurationBucket(_, upper time.Duration) tally.CachedHistogramBucket {
	if upper == math.MaxInt64 {
		return s.ValueBucket(0, math.MaxFloat64)
	}
	return s.ValueBucket(0, upper.Seconds())
}

// ReportSamples implements tally.CachedHistogramBucket.
func (b *bucket) ReportSamples(value int64) {
	b.series.page.mu.Lock()
	defer b.series.page.mu.Unlock()
	b.count += value
}

// write appends the lines of the series to the text of the page. The caller holds the
// Page's lock.
func (s *series) write(page *strings.Builder) {
	if s.hasValue {
		s.writeLine(page, "", s.tags, s.value)
	}
	if s.isTimer {
		s.writeLine(page, "_count", s.tags, float64(s.count))
		s.writeLine(page, "_sum", s.tags, s.sum)
	}
	if len(s.buckets) == 0 {
		return
	}
	var cumulative int64
	for _, upper := range slices.Sorted(maps.Keys(s.buckets)) {
		cumulative += s.buckets[upper].count
		s.writeLine(page, "_bucket", s.bucketTags(upper), float64(cumulative))
	}
	s.writeLine(page, "_count", s.tags, float64(cumulative))
}

// bucketTags returns the tags of the series with the upper bound of a bucket added as "le".
func (s *series) bucketTags(upper float64) string {
	text := strconv.FormatFloat(upper, 'g', -1, 64)
	if upper == math.MaxFloat64 {
		text = "+Inf"
	}
	if s.tags == "" {
		return `le="` + text + `"`
	}
	return s.tags + `,le="` + text + `"`
}

// writeLine appends the line of one value to the text of the page.
func (s *series) writeLine(page *strings.Builder, suffix, tags string, value float64) {
	if tags != "" {
		tags = "{" + tags + "}"
	}
	fmt.Fprintf(page, "%s%s%s %s\n", s.name, suffix, tags, strconv.FormatFloat(value, 'f', -1, 64))
}
