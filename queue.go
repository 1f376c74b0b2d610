package endive

// Queue is the configuration of a queue: who may submit to it, where its
// workflows run, and by which policy.
type Queue struct {
	Name QueueName `json:"name"`
	// Host and Prefix select the queue of a caller's request; the longest prefix
	// wins.
	Host   string `json:"host,omitempty"`
	Prefix string `json:"prefix,omitempty"`
	// Pool is whose workers run the tasks.
	Pool PoolName `json:"pool"`
	// Rank orders queues: 0 comes first, and may preempt others.
	Rank int `json:"rank"`
	// MaxAttempts bounds how often a task may fail.
	MaxAttempts int `json:"maxAttempts"`
	// SlackFactor times the longest chain of work, plus Grace, is the objective.
	SlackFactor float64  `json:"slackFactor"`
	Grace       Interval `json:"grace"`
	// Advice is set where only some workers may run a step, which the advice
	// service knows.
	Advice AdvicePolicy `json:"advice,omitzero"`
}

// AdvicePolicy says what a question to the advice service costs.
type AdvicePolicy struct {
	// Base is how long any answer takes, PerWorker how much longer it takes for
	// each worker that the question names.
	Base      Interval `json:"base,omitempty"`
	PerWorker Interval `json:"perWorker,omitempty"`
	// Validity is how long the tickets of an answer are accepted.
	Validity Interval `json:"validity,omitempty"`
}

// Required reports whether tasks of the queue need a ticket.
func (p AdvicePolicy) Required() bool { return p.Validity > 0 }

// Cost returns how long the answer to a question about workers takes.
func (p AdvicePolicy) Cost(workers int) Interval {
	return p.Base + Interval(workers)*p.PerWorker
}

// Submission is an accepted workflow with the policy that it was accepted under.
type Submission struct {
	Workflow Workflow `json:"workflow"`
	Policy   Queue    `json:"policy"`
	// ConfigVersion is the configuration that the policy was taken from.
	ConfigVersion ConfigVersion `json:"configVersion"`
	// Accepted is the platform's time of the acceptance.
	Accepted PlatformTime `json:"accepted"`
	// Advised says that the accepting entry asks which workers may run the first
	// steps.
	Advised bool `json:"advised,omitempty"`
}

// CellConfig is what the operators configure: queues, pools of workers and bounds
// of the callers' requests.
type CellConfig struct {
	Version ConfigVersion
	Queues  []Queue
	Pools   []WorkerPool
	// MaxBody bounds the body of a caller's request.
	MaxBody Bytes
	// HeaderTimeout bounds how long a caller may take for the header of a request,
	// IdleTimeout how long a connection may be idle. 0 means the default.
	HeaderTimeout Interval
	IdleTimeout   Interval
}

// WorkerPool is the configuration of a pool.
type WorkerPool struct {
	Name PoolName
	// Standby pools have machines that are off until they are moved in.
	Standby bool
	// EnforcesCapacity says that the pool's workers refuse what exceeds their capacity.
	EnforcesCapacity bool
}

// Pool returns the configuration of a pool.
func (c CellConfig) Pool(name PoolName) (WorkerPool, bool) {
	for _, pool := range c.Pools {
		if pool.Name == name {
			return pool, true
		}
	}
	return WorkerPool{}, false
}
