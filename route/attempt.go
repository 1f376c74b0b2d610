package route

import (
	"time"

	"endiveroute.example/endive"
)

// attempt is one call of an executor. It holds a slot.
type attempt struct {
	id       endive.AttemptID
	executor *executor
	started  time.Time
	deadline time.Time
	// execution is nil once the attempt was given up: its answer is dropped.
	execution *execution
	// probe says that the attempt only tests an ejected executor.
	probe bool
	// silenceChecks counts how often the attempt was found without a reply.
	silenceChecks int
}
