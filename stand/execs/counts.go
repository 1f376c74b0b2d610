package execs

// ExecutorCounts are the counts of one executor.
type ExecutorCounts struct {
	Runs    int `json:"runs"`
	Running int `json:"running"`
	// MostRunning is the maximum number of slots in use at the same time.
	MostRunning int `json:"mostRunning"`
	// Refused counts the requests that arrived while all slots were in use.
	Refused int `json:"refused"`
	// RunsLeaving counts the runs that began while the executor was leaving.
	RunsLeaving int `json:"runsLeaving"`
	// The server fills in MostConnections and OverLimit.
	MostConnections int `json:"mostConnections"`
	OverLimit       int `json:"overLimit"`
}

// ServiceCounts are the counts over all executors of one service.
type ServiceCounts struct {
	Runs    int `json:"runs"`
	Refused int `json:"refused"`
	// Requests is the number of different request ids that were run, RunAgain the
	// number of those that were run more than once.
	Requests int `json:"requests"`
	RunAgain int `json:"runAgain"`
	// MostRuns is the maximum number of runs of one request id, MostBodyRuns that of
	// one request body.
	MostRuns     int `json:"mostRuns"`
	MostBodyRuns int `json:"mostBodyRuns"`
	// ByRequest and ByBody are the runs of each request id and of each request body.
	// They are nil in counts without detail.
	ByRequest map[string]int `json:"byRequest,omitempty"`
	ByBody    map[string]int `json:"byBody,omitempty"`
}
