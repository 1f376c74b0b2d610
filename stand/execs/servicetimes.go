package execs

import (
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"endiveroute.example/endive"
)

// HeaderServiceTime is the request header that sets the service time, such as
// "20ms".
const HeaderServiceTime = "Endive-Service-Time"

// maxMeanMultiple bounds a drawn service time, as a multiple of the mean.
const maxMeanMultiple = 10

// serviceTimes draws service times with the given mean from an exponential
// distribution. It is safe for concurrent use.
type serviceTimes struct {
	mean endive.Interval

	mu     sync.Mutex
	random *rand.Rand
}

func (t *serviceTimes) draw() endive.Interval {
	t.mu.Lock()
	defer t.mu.Unlock()
	return endive.Interval(min(t.random.ExpFloat64(), maxMeanMultiple) * float64(t.mean))
}

// bodyOptions are options for the simulated executor that a request gives at the
// start of its body: "time=20ms" sets the service time, "size=1000" the minimum
// size of the answer in bytes.
type bodyOptions struct {
	serviceTime endive.Interval
	answerSize  int
}

// parseOptions reads options from the body up to the first word that is not an
// option, and reports whether the service time was set. The service time of the
// header takes precedence.
func parseOptions(header string, body string) (bodyOptions, bool) {
	var options bodyOptions
	timed := false
	for _, word := range strings.Fields(body) {
		name, value, _ := strings.Cut(word, "=")
		if name == "size" {
			options.answerSize, _ = strconv.Atoi(value)
			continue
		}
		if name != "time" {
			break
		}
		if d, err := time.ParseDuration(value); err == nil {
			options.serviceTime, timed = endive.Interval(d), true
		}
	}
	if d, err := time.ParseDuration(header); err == nil {
		options.serviceTime, timed = endive.Interval(d), true
	}
	return options, timed
}
