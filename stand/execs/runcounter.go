package execs

import (
	"sync"

	"endiveroute.example/endive"
)

// RunCounter counts the runs of each request over all executors. It is safe for
// concurrent use.
type RunCounter struct {
	mu       sync.Mutex
	services map[endive.ServiceName]*ServiceCounts
}

// NewRunCounter returns a counter without runs.
func NewRunCounter() *RunCounter {
	return &RunCounter{services: make(map[endive.ServiceName]*ServiceCounts)}
}

// recordRun counts a run of a request.
func (l *RunCounter) recordRun(service endive.ServiceName, request, body string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	c := l.countsOf(service)
	c.Runs++
	c.ByRequest[request]++
	c.ByBody[body]++
	switch c.ByRequest[request] {
	case 1:
		c.Requests++
	case 2:
		c.RunAgain++
	}
	c.MostRuns = max(c.MostRuns, c.ByRequest[request])
	c.MostBodyRuns = max(c.MostBodyRuns, c.ByBody[body])
}

// recordRefusal counts a request that was refused because no slot was free.
func (l *RunCounter) recordRefusal(service endive.ServiceName) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.countsOf(service).Refused++
}

func (l *RunCounter) countsOf(service endive.ServiceName) *ServiceCounts {
	c := l.services[service]
	if c == nil {
		c = &ServiceCounts{ByRequest: make(map[string]int), ByBody: make(map[string]int)}
		l.services[service] = c
	}
	return c
}

// Counts returns the counts of each service; without detail, only the sums.
func (l *RunCounter) Counts(detail bool) map[endive.ServiceName]ServiceCounts {
	l.mu.Lock()
	defer l.mu.Unlock()
	counts := make(map[endive.ServiceName]ServiceCounts, len(l.services))
	for name, c := range l.services {
		copied := *c
		copied.ByRequest, copied.ByBody = nil, nil
		if detail {
			copied.ByRequest, copied.ByBody = clone(c.ByRequest), clone(c.ByBody)
		}
		counts[name] = copied
	}
	return counts
}

func clone(m map[string]int) map[string]int {
	c := make(map[string]int, len(m))
	for key, n := range m {
		c[key] = n
	}
	return c
}
