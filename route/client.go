package route

import (
	"time"

	"endiveroute.example/endive"
)

// client is a client's request that waits for the answer of an execution.
type client struct {
	request   endive.RequestID
	deadline  time.Time
	execution *execution
}
