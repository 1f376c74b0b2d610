package endive

import "time"

// JobKind says how the tasks of a job belong together.
type JobKind string

// The kinds of jobs.
const (
	// KindBatch runs each task once to its end, in any order.
	KindBatch JobKind = "batch"
	// KindGang starts all of its tasks at once or none.
	KindGang JobKind = "gang"
	// KindWatcher keeps each task alive until it is cancelled.
	KindWatcher JobKind = "watcher"
)

// Priority orders jobs; a higher one goes first.
type Priority int

// The priorities that jobs use.
const (
	PriorityBackground Priority = 0
	PriorityNormal     Priority = 100
	PriorityWatcher    Priority = 200
	PriorityUrgent     Priority = 300
)

// Bounds of a Job.
const (
	MaxTasks        = 10000
	MaxPayload      = 64 * KiB
	MaxAttempts     = 20
	DefaultAttempts = 3
	DefaultRunTime  = Interval(10 * time.Minute)
	MaxRunTime      = Interval(24 * time.Hour)
)

// Job is what a team submits.
type Job struct {
	ID   JobID    `json:"id,omitempty" toml:"-"`
	Name JobName  `json:"name" toml:"name"`
	Team TeamName `json:"team" toml:"team"`
	Pool PoolName `json:"pool" toml:"pool"`
	// Region is where the job runs; empty means anywhere.
	Region   Region   `json:"region,omitempty" toml:"region"`
	Kind     JobKind  `json:"kind" toml:"kind"`
	Priority Priority `json:"priority" toml:"priority"`
	// Tasks is how many tasks the job has.
	Tasks int `json:"tasks" toml:"tasks"`
	// Need is what each task takes.
	Need Resources `json:"need" toml:"need"`
	// RunTime is how long a task is expected to run. It guides order, and never
	// ends a task.
	RunTime Interval `json:"runTime" toml:"runTime"`
	// NonIdempotent gives each task one attempt.
	NonIdempotent bool `json:"nonIdempotent,omitempty" toml:"nonIdempotent"`
	// Checkpoints says that a worker can save a task's progress before a stop.
	Checkpoints bool `json:"checkpoints,omitempty" toml:"checkpoints"`
	// Attempts bounds the attempts at each task.
	Attempts int `json:"attempts,omitempty" toml:"attempts"`
	// Payload is handed to the worker as it is.
	Payload string `json:"payload,omitempty" toml:"payload"`
	// Key is the submission key: a second submission under it is the same job.
	Key IdempotencyKey `json:"key" toml:"key"`
}

// Jobs is a list of jobs.
type Jobs []Job

// Defaults fills in what was left out.
func (j *Job) Defaults() {
	if j.Tasks == 0 {
		j.Tasks = 1
	}
	if j.Attempts == 0 {
		j.Attempts = DefaultAttempts
	}
	if j.NonIdempotent {
		j.Attempts = 1
	}
	if j.RunTime == 0 {
		j.RunTime = DefaultRunTime
	}
	if j.Kind == "" {
		j.Kind = KindBatch
	}
}

// Validate adds everything wrong with j to f, below place.
func (j Job) Validate(f *Findings, place string) {
	ValidateName(f, place+"name", string(j.Name))
	ValidateName(f, place+"team", string(j.Team))
	ValidateName(f, place+"pool", string(j.Pool))
	j.Need.validate(f, place+"need")
	if j.Need == (Resources{}) {
		f.Add(place+"need", "is missing; name processors, memory or accelerators")
	}
	switch j.Kind {
	case KindBatch, KindGang, KindWatcher:
	default:
		f.Add(place+"kind", "is %q; it must be batch, gang or watcher", j.Kind)
	}
	ValidateRange(f, place+"tasks", int64(j.Tasks), 1, MaxTasks)
	ValidateRange(f, place+"attempts", int64(j.Attempts), 1, MaxAttempts)
	ValidateRange(f, place+"priority", int64(j.Priority), 0, int64(PriorityUrgent))
	if j.RunTime <= 0 || j.RunTime > MaxRunTime {
		f.Add(place+"runTime", "is %s; it must be above 0 and at most %s", j.RunTime, MaxRunTime)
	}
	if len(j.Payload) > int(MaxPayload) {
		f.Add(place+"payload", "is %d bytes long; at most %d are allowed", len(j.Payload), MaxPayload)
	}
	j.Key.Validate(f, place+"key")
}
