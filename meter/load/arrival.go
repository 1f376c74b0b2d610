package load

import (
	"math/rand/v2"
	"strconv"
	"time"

	"endiveroute.example/endive"
)

// maxTimeFactor bounds a drawn service time, as a multiple of its mean.
const maxTimeFactor = 10

// Arrival is one thing to send.
type Arrival struct {
	// Due is when it is sent, from the start of the load.
	Due  endive.Interval
	Kind Kind
	// ID is unique, but for the second device of a quote and the retry of a cut.
	ID string
	// ServiceTime is the service time that is asked for.
	ServiceTime endive.Interval
	// Tasks is how many tasks a plan has.
	Tasks int
}

// GenerateArrivals returns the arrivals of a load: a Poisson process of the given rate, in
// arrivals a second, over the given length. Equal seeds and names give equal
// arrivals; the name keeps the ids of several loads apart.
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

// drawArrivals decides what an arrival is, and how often it is sent.
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

// drawServiceTime draws a service time with the given mean, in whole microseconds.
func drawServiceTime(random *rand.Rand, mean endive.Interval) endive.Interval {
	drawn := min(random.ExpFloat64(), maxTimeFactor) * float64(mean)
	return endive.Interval(time.Duration(drawn).Truncate(time.Microsecond))
}
