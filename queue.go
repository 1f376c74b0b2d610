package endive

// Queue is the configuration of a queue: which requests select it, which pool runs
// its workflows, and its scheduling policy.
type Queue struct {
	Name QueueName `json:"name"`
	// Host and Prefix select the queue of a client's request by host and path; the
	// longest matching prefix wins.
	Host   string `json:"host,omitempty"`
	Prefix string `json:"prefix,omitempty"`
	// Pool is the pool whose workers run the tasks.
	Pool PoolName `json:"pool"`
	// Rank orders queues: rank 0 is scheduled first and may preempt the others.
	Rank int `json:"rank"`
	// MaxAttempts is the number of failures after which a task is not retried.
	MaxAttempts int `json:"maxAttempts"`
	// SlackFactor and Grace set the target completion time of a workflow: the length
	// of its critical path times SlackFactor, plus Grace.
	SlackFactor float64  `json:"slackFactor"`
	Grace       Interval `json:"grace"`
	// Public queues take calls without a key.
	Public bool `json:"public,omitempty"`
	// Advice is set if the tasks require a ticket of the advice service, which
	// determines the workers that may run a step.
	Advice AdvicePolicy `json:"advice,omitzero"`
}

// AdvicePolicy describes the latency of the advice service and the validity of its
// tickets.
type AdvicePolicy struct {
	// Base is the fixed part of the response time. PerWorker is added to it for each
	// worker in the request.
	Base      Interval `json:"base,omitempty"`
	PerWorker Interval `json:"perWorker,omitempty"`
	// Validity is how long the tickets of a response remain valid.
	Validity Interval `json:"validity,omitempty"`
}

// Required reports whether tasks of the queue need a ticket.
func (p AdvicePolicy) Required() bool { return p.Validity > 0 }

// Cost returns the response time of a request about the given number of workers.
func (p AdvicePolicy) Cost(workers int) Interval {
	return p.Base + Interval(workers)*p.PerWorker
}

// Submission is an accepted workflow with the queue configuration that applied when
// it was accepted.
type Submission struct {
	Workflow Workflow `json:"workflow"`
	Policy   Queue    `json:"policy"`
	// Account is the client account that the workflow belongs to; empty for none.
	Account AccountName `json:"account,omitempty"`
	// ConfigVersion is the version of the configuration that contained the policy.
	ConfigVersion ConfigVersion `json:"configVersion"`
	// Accepted is the platform's time when the workflow was accepted.
	Accepted PlatformTime `json:"accepted"`
	// Advised is true if the accepting entry itself sends the advice requests for the
	// first steps.
	Advised bool `json:"advised,omitempty"`
}

// CellConfig is the operators' configuration: queues, pools of workers and limits of
// client requests.
type CellConfig struct {
	Version  ConfigVersion
	Queues   []Queue
	Pools    []WorkerPool
	Accounts Accounts
	// MaxBody is the maximum size of the body of a client's request.
	MaxBody Bytes
	// HeaderTimeout is the time limit for receiving the header of a request.
	// IdleTimeout is the maximum idle time of a connection. 0 means the default.
	HeaderTimeout Interval
	IdleTimeout   Interval
}

// WorkerPool is the operators' configuration of a pool of workers.
type WorkerPool struct {
	Name PoolName
	// Standby is true if the pool's machines are powered off until they are brought
	// into use.
	Standby bool
	// EnforcesCapacity is true if the pool's workers refuse tasks that exceed their
	// capacity.
	EnforcesCapacity bool
}

// Pool returns the configuration of the named pool.
func (c CellConfig) Pool(name PoolName) (WorkerPool, bool) {
	for _, pool := range c.Pools {
		if pool.Name == name {
			return pool, true
		}
	}
	return WorkerPool{}, false
}
