package gauge

import (
	"maps"
	"net/http"
	"slices"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"

	tally "github.com/uber-go/tally/v4"
)

// Page collects the metrics of a tally scope and serves them over HTTP. Each line has a
// name, tags in braces and the value since the start of the process. Lines are sorted by
// name and tags. Histograms have a cumulative "_bucket" line for each upper bound and a
// "_count" line. Timers have a "_count" line and a "_sum" line in seconds. Values are as
// old as the scope's reporting interval. Lines about the process itself follow at the end.
// Page is safe for concurrent use.
type Page struct {
	mu     sync.Mutex
	series map[string]*series
	// groups are the series of each group of values that Replace sets.
	groups map[string]map[string]*series
}

// New returns an empty Page, to be used as the CachedReporter of a tally root scope.
func New() *Page {
	return &Page{series: make(map[string]*series), groups: make(map[string]map[string]*series)}
}

// NewScope returns a root scope that reports to this page, and the function that closes it.
func (p *Page) NewScope(interval time.Duration) (tally.Scope, func() error) {
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		CachedReporter: p, Separator: "_", OmitCardinalityMetrics: true,
	}, interval)
	return scope, closer.Close
}

// ServeHTTP implements http.Handler.
func (p *Page) ServeHTTP(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	var process strings.Builder
	writeProcess(&process)
	// A failed write means that the connection is broken, so the error can't be reported.
	_, _ = w.Write([]byte(p.String() + process.String()))
}

// String returns the lines of the scope's metrics, without those about the process.
func (p *Page) String() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	var page strings.Builder
	all := p.allSeries()
	for _, key := range slices.Sorted(maps.Keys(all)) {
		all[key].write(&page)
	}
	return page.String()
}

// Capabilities implements tally.CachedStatsReporter.
func (p *Page) Capabilities() tally.Capabilities { return p }

// Reporting implements tally.Capabilities.
func (p *Page) Reporting() bool { return true }

// Tagging implements tally.Capabilities.
func (p *Page) Tagging() bool { return true }

// Flush implements tally.CachedStatsReporter.
func (p *Page) Flush() {}

// AllocateCounter implements tally.CachedStatsReporter.
func (p *Page) AllocateCounter(name string, tags map[string]string) tally.CachedCount {
	return p.seriesFor(name, tags)
}

// AllocateGauge implements tally.CachedStatsReporter.
func (p *Page) AllocateGauge(name string, tags map[string]string) tally.CachedGauge {
	return p.seriesFor(name, tags)
}

// AllocateTimer implements tally.CachedStatsReporter.
func (p *Page) AllocateTimer(name string, tags map[string]string) tally.CachedTimer {
	return p.seriesFor(name, tags)
}

// AllocateHistogram implements tally.CachedStatsReporter.
func (p *Page) AllocateHistogram(name string, tags map[string]string, _ tally.Buckets) tally.CachedHistogram {
	return p.seriesFor(name, tags)
}

// seriesFor returns the series with a name and tags. It creates the series if needed.
func (p *Page) seriesFor(name string, tags map[string]string) *series {
	one := &series{page: p, name: name, tags: formatTags(tags), buckets: make(map[float64]*bucket)}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.series[one.key()] == nil {
		p.series[one.key()] = one
	}
	return p.series[one.key()]
}

// formatTags formats tags, without the braces, in alphabetical order.
func formatTags(tags map[string]string) string {
	parts := make([]string, 0, len(tags))
	for key, value := range tags {
		parts = append(parts, key+"="+strconv.Quote(value))
	}
	sort.Strings(parts)
	return strings.Join(parts, ",")
}
