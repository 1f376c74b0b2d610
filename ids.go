package endive

// Names and identifiers. Each has its own type, so that the compiler rejects a
// worker's id in place of an executor's.
type (
	// Region names a group of availability zones with a fast network inside it.
	Region string
	// Zone names an availability zone.
	Zone string
	// Rack names a group of workers that share a failure domain.
	Rack string
	// EntryID identifies an entry, a server process of this scheduler.
	EntryID string
	// Incarnation distinguishes two runs of the same entry process.
	Incarnation string
	// WorkerID names a worker.
	WorkerID string
	// ExecutorID names an executor of a service.
	ExecutorID string
	// ServiceName names a service that clients send requests to.
	ServiceName string
	// PoolName names a set of workers with the same configuration.
	PoolName string
	// TeamName names a team that submits jobs under a quota.
	TeamName string
	// AccountName names a client account; empty means none.
	AccountName string
	// QueueName names a queue that workflows are submitted to.
	QueueName string
	// Label is an attribute of a worker: its kind or its rack.
	Label string
	// ImageName names the program image that a task runs.
	ImageName string
	// Checkpoint identifies the saved progress of a task; empty means none.
	Checkpoint string
	// AdviceTicket is a token that permits the tasks of one step to start on one
	// worker.
	AdviceTicket string
	// JobID identifies an accepted job.
	JobID string
	// JobName groups the runs of a recurring job. Run times are estimated per job
	// name.
	JobName string
	// StepID identifies one step of one occurrence of a workflow.
	StepID string
	// MachineID identifies a physical machine, on which other workers may run later.
	MachineID string
	// TaskID identifies one task of a job.
	TaskID string
	// AttemptID identifies one attempt to run a task or a request.
	AttemptID string
	// RequestID identifies a client's request.
	RequestID string
	// IdempotencyKey is chosen by a client. Requests with the same key are treated as
	// one request.
	IdempotencyKey string
	// SliceID identifies a slice: workers of one pool in one region, to which a single
	// entry assigns tasks.
	SliceID string
	// WriteID identifies one transaction of the table service, applied or not.
	WriteID string
	// Address is an IP address with a port.
	Address string
)

// Counters that only increase.
type (
	// TicketNumber numbers the tickets, which change the configuration.
	TicketNumber uint64
	// Epoch increases whenever another entry takes over a slice or a pool. A worker refuses
	// commands with a lower epoch than the highest it has received.
	Epoch uint64
	// RunNumber counts the starts of one task. A worker refuses a run whose number
	// isn't higher than that of a run of the task that stopped or ended on the worker.
	RunNumber int64
	// EndNumber numbers the ended runs on one incarnation of a worker.
	EndNumber int64
	// ConfigVersion is the version number of the operators' configuration.
	ConfigVersion int64
	// Revision numbers the changes of the whole table service.
	Revision uint64
	// Version counts the changes of one row; 0 means that the row doesn't exist.
	Version uint64
)

// Readings of remote clocks.
type (
	// PlatformTime is a reading of the platform's monotonic clock, in milliseconds.
	PlatformTime int64
	// WorkerTime is a reading of a worker's monotonic clock, in milliseconds. The
	// clock may run up to two percent slow.
	WorkerTime int64
)
