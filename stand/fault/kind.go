package fault

// Kind is the kind of failure that a fault injects.
type Kind string

// The kinds of faults.
const (
	// Down rejects each request without executing it: platform services answer with
	// status 503, workers and executors close the connection.
	Down Kind = "down"
	// Slow executes each request after the fault's delay.
	Slow Kind = "slow"
	// LostAnswer executes the request and closes the connection without a response.
	LostAnswer Kind = "lostAnswer"
	// Silent neither executes nor answers requests on connections that were open
	// when the fault was switched on; new connections work.
	Silent Kind = "silent"
	// Truncated declares the full content length, sends half of the body and closes
	// the connection.
	Truncated Kind = "truncated"
	// Late executes the request and sends the response after the delay.
	Late Kind = "late"
	// Swapped sends the response of the previous request.
	Swapped Kind = "swapped"
	// Duplicated sends the response a second time when the next request arrives on
	// the same connection, and doesn't execute that request.
	Duplicated Kind = "duplicated"
	// Repeated executes a request twice and responds with the second result.
	Repeated Kind = "repeated"
	// FailAll responds to each request with status 500. Workers execute requests,
	// but each task that they start fails.
	FailAll Kind = "failAll"
	// Paused delays requests until the fault is switched off, then executes them.
	Paused Kind = "paused"
	// Leaving announces that the instance will shut down soon.
	Leaving Kind = "leaving"
	// Dying truncates the next response, and then behaves like Down.
	Dying Kind = "dying"
	// Cut neither executes nor answers requests that arrive while it is on.
	Cut Kind = "cut"
	// LinkCut behaves like Cut for requests from another region.
	LinkCut Kind = "linkCut"
	// Lag makes the instance list return the state that it had the delay ago.
	Lag Kind = "lag"
	// Link delays each request from another region, and its response, by the delay.
	Link Kind = "link"
)

func (k Kind) needsDelay() bool {
	switch k {
	case Slow, Late, Lag, Link:
		return true
	}
	return false
}

// valid reports whether k is one of the kinds above.
func (k Kind) valid() bool {
	switch k {
	case Down, Slow, LostAnswer, Silent, Truncated, Late, Swapped, Duplicated,
		Repeated, FailAll, Paused, Leaving, Dying, Cut, LinkCut, Lag, Link:
		return true
	}
	return false
}
