package route

import (
	"time"

	"endiveroute.example/endive"
)

// client waits for the answer of an execution.
type client struct {
	request   endive.RequestID
	deadline  time.Time
	execution *execution
}
