package endive

// Outcome is the result of a request.
type Outcome string

// The three outcomes.
const (
	// Answered means that the complete response of an executor was received.
	Answered Outcome = "answered"
	// NotRun means that no executor has run the request, and none will.
	NotRun Outcome = "notRun"
	// Unknown means that an executor may have run the request.
	Unknown Outcome = "unknown"
)
