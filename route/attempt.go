package route

import (
	"time"

	"endiveroute.example/endive"
)

// attempt is one call of an executor. It holds one slot.
type attempt struct {
	id       endive.AttemptID
	executor *executor
	started  time.Time
	deadline time.Time
	// execution is nil once the execution has ended; the attempt's result is
	// then ignored.
	execution *execution
	// probe is set for an attempt on an ejected executor.
	probe bool
	// silenceChecks is the number of times that the attempt was found without a
	// reply.
	silenceChecks int
}
