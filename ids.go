package endive

// Names and identifiers. Each has its own type, so that the compiler tells a
// worker from an executor.
type (
	// Region names a group of availability zones with a fast network inside it.
	Region string
	// Zone names an availability zone.
	Zone string
	// Rack names the group of workers that fail together.
	Rack string
	// EntryID names an entry instance.
	EntryID string
	// Incarnation tells two runs of the same entry apart.
	Incarnation string
	// WorkerID names a worker.
	WorkerID string
	// ExecutorID names an executor of a service.
	ExecutorID string
	// ServiceName names a service that callers ask.
	ServiceName string
	// PoolName names a set of workers with one policy.
	PoolName string
	// TeamName names a team that submits jobs under a quota.
	TeamName string
	// QueueName names a queue that workflows are submitted to.
	QueueName string
	// Label says something of a worker: its kind, or its rack.
	Label string
	// ImageName names what a task runs.
	ImageName string
	// Checkpoint names the saved progress of a task; empty means none.
	Checkpoint string
	// AdviceTicket allows the tasks of one step to start on one worker.
	AdviceTicket string
	// JobID names an accepted job.
	JobID string
	// JobName groups the runs of one recurring job; sizes and run times are
	// learned by it.
	JobName string
	// StepID names one step of one occurrence of a workflow.
	StepID string
	// MachineID names a piece of hardware, which outlives the worker on it.
	MachineID string
	// TaskID names one task of a job.
	TaskID string
	// AttemptID names one attempt at a task or a request.
	AttemptID string
	// RequestID names a caller's request.
	RequestID string
	// IdempotencyKey is chosen by a caller. Requests that share a key are one
	// request.
	IdempotencyKey string
	// SliceID names a slice: workers of one pool in one region that one entry
	// places tasks on.
	SliceID string
	// WriteID names one attempted transaction of the table service.
	WriteID string
	// Address is an IP address with a port.
	Address string
)

// Counters that only rise.
type (
	// TicketNumber orders change tickets.
	TicketNumber uint64
	// Epoch counts the holders of a slice. A worker refuses commands of a lower
	// epoch than it has seen.
	Epoch uint64
	// RunNumber counts the starts of one task; a worker refuses one that isn't
	// higher than a run that was stopped or ended there.
	RunNumber int64
	// EndNumber counts the ends of runs on one incarnation of a worker.
	EndNumber int64
	// ConfigVersion orders configurations.
	ConfigVersion int64
	// Revision orders all changes of the table service.
	Revision uint64
	// Version counts the changes of one row; 0 means that there is no row.
	Version uint64
)

// Readings of clocks that aren't this process's.
type (
	// PlatformTime is a reading of the platform's steady clock, in milliseconds.
	PlatformTime int64
	// WorkerTime is a reading of one worker's steady clock, in milliseconds. It
	// may be slow by two percent.
	WorkerTime int64
)
