package load

import (
	"math/rand/v2"
	"strconv"
	"time"

	"endiveroute.example/endive"
)

// maxTimeFactor limits a random service time to a multiple of the mean.
const maxTimeFactor = 10

// Arrival is one request or job of the load.
type Arrival struct {
	// Due is the time from the start of the load at which the arrival is to be sent.
	Due  endive.Interval
	Kind Kind
	// ID is unique, except that the two arrivals of a quote sent by two devices
	// share one, as do a cut and its retry.
	ID string
	// ServiceTime is the service time that the request sets in the simulated service, or
	// the run time of a plan's tasks.
	ServiceTime endive.Interval
	// Tasks is the number of tasks of a plan.
	Tasks int
}

// GenerateArrivals returns the arrivals of a load: a Poisson process of the given rate, in
// arrivals per second, over the given duration. Equal seeds and names give equal
// arrivals; the name is the prefix of the ids, so that they differ between loads.
func GenerateArrivals(seed uint64, name string, rate float64, duration endive.Interval, mix Mix) []Arrival {
	random := rand.New(rand.NewPCG(seed, 0))
	var arrivals []Arrival
	for due := 0.0; ; {
		due += random.ExpFloat64() / rate
		at := endive.Interval(due * float64(time.Second))
		if at >= duration {
			return arrivals
		}
		arrival := Arrival{Due: at, ID: name + "-" + strconv.Itoa(len(arrivals))}
		arrivals = append(arrivals, mix.drawArrivals(random, arrival)...)
	}
}

// drawArrivals randomly chooses an arrival's kind and times, and returns it twice if it
// is to be sent twice.
func (m Mix) drawArrivals(random *rand.Rand, arrival Arrival) []Arrival {
	duplicated := false
	switch p := random.Float64(); {
	case p < m.Cuts:
		arrival.Kind, arrival.ServiceTime = Cut, drawServiceTime(random, m.CutTime)
		duplicated = random.Float64() < m.Retries
	case p < m.Cuts+m.Plans:
		arrival.Kind, arrival.ServiceTime, arrival.Tasks = Plan, m.PlanTime, m.PlanTasks
	default:
		arrival.Kind, arrival.ServiceTime = Quote, drawServiceTime(random, m.QuoteTime)
		duplicated = random.Float64() < m.Devices
	}
	if duplicated {
		return []Arrival{arrival, arrival}
	}
	return []Arrival{arrival}
}

// drawServiceTime returns a random, exponentially distributed service time in whole
// microseconds.
func drawServiceTime(random *rand.Rand, mean endive.Interval) endive.Interval {
	drawn := min(random.ExpFloat64(), maxTimeFactor) * float64(mean)
	return endive.Interval(time.Duration(drawn).Truncate(time.Microsecond))
}
