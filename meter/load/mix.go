package load

import "endiveroute.example/endive"

// Mix is the composition of the load.
type Mix struct {
	// Cuts and Plans are fractions of the arrivals; the rest are quotes.
	Cuts, Plans float64
	// Devices is the fraction of the quotes that two devices send at the same time.
	Devices float64
	// Retries is the fraction of the cuts that are sent a second time with the same
	// idempotency key.
	Retries float64
	// QuoteTime and CutTime are the mean service times in the simulated services. The
	// service times are exponentially distributed.
	QuoteTime, CutTime endive.Interval
	// PlanTime is the run time of each task of a plan, and PlanTasks is the
	// number of tasks.
	PlanTime  endive.Interval
	PlanTasks int
}
