package runner

import (
	"strconv"
	"strings"
	"time"

	"endiveroute.example/endive"
)

// Values for payloads that don't set them.
const (
	defaultRunTime    = endive.Interval(100 * time.Millisecond)
	defaultUsageShare = 0.7
)

// payload is the behaviour of a simulated task, parsed from words such as
// "run=200ms", "usage=1.2", "fail" and "forever" in the task's payload, in any
// order. Other words are ignored.
type payload struct {
	runTime endive.Interval
	forever bool
	fail    bool
	// usageShare is the task's reported usage as a fraction of its need.
	usageShare float64
}

func parsePayload(text string) payload {
	p := payload{runTime: defaultRunTime, usageShare: defaultUsageShare}
	for _, word := range strings.Fields(text) {
		name, value, _ := strings.Cut(word, "=")
		switch name {
		case "run":
			if d, err := time.ParseDuration(value); err == nil {
				p.runTime = endive.Interval(d)
			}
		case "usage":
			if share, err := strconv.ParseFloat(value, 64); err == nil {
				p.usageShare = share
			}
		case "forever":
			p.forever = true
		case "fail":
			p.fail = true
		}
	}
	return p
}

// usage returns the resources that a task of the given need uses.
func (p payload) usage(need endive.Resources) endive.Resources {
	return endive.Resources{
		Processors:   endive.MilliProcessors(p.usageShare * float64(need.Processors)),
		Memory:       endive.Bytes(p.usageShare * float64(need.Memory)),
		Accelerators: need.Accelerators,
	}
}
