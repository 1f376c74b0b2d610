package endive

import "time"

// JobKind determines how the tasks of a job are run.
type JobKind string

// The kinds of jobs.
const (
	// KindBatch runs each task once to completion, in any order.
	KindBatch JobKind = "batch"
	// KindGang starts all tasks at the same time or none.
	KindGang JobKind = "gang"
	// KindWatcher restarts each task whenever it ends, until the job is cancelled.
	KindWatcher JobKind = "watcher"
)

// Priority orders jobs: jobs with a higher priority run first.
type Priority int

// The priorities that jobs use.
const (
	PriorityBackground Priority = 0
	PriorityNormal     Priority = 100
	PriorityWatcher    Priority = 200
	PriorityUrgent     Priority = 300
)

// Defaults and limits of a Job.
const (
	MaxTasks        = 10000
	MaxPayload      = 64 * KiB
	MaxAttempts     = 20
	DefaultAttempts = 3
	DefaultRunTime  = Interval(10 * time.Minute)
	MaxRunTime      = Interval(24 * time.Hour)
)

// Job is a set of equal tasks that a team submits.
type Job struct {
	ID   JobID    `json:"id,omitempty" toml:"-"`
	Name JobName  `json:"name" toml:"name"`
	Team TeamName `json:"team" toml:"team"`
	Pool PoolName `json:"pool" toml:"pool"`
	// Region is the region in which the job runs; empty means any region.
	Region   Region   `json:"region,omitempty" toml:"region"`
	Kind     JobKind  `json:"kind" toml:"kind"`
	Priority Priority `json:"priority" toml:"priority"`
	// Tasks is the number of tasks of the job.
	Tasks int `json:"tasks" toml:"tasks"`
	// Need is the resources that each task requires.
	Need Resources `json:"need" toml:"need"`
	// RunTime is the expected run time of a task. It affects the scheduling order;
	// tasks that run longer are not stopped.
	RunTime Interval `json:"runTime" toml:"runTime"`
	// NonIdempotent limits each task to one attempt.
	NonIdempotent bool `json:"nonIdempotent,omitempty" toml:"nonIdempotent"`
	// Checkpoints is true if a worker can save a task's progress before it stops the
	// task.
	Checkpoints bool `json:"checkpoints,omitempty" toml:"checkpoints"`
	// Attempts is the maximum number of attempts to run each task.
	Attempts int `json:"attempts,omitempty" toml:"attempts"`
	// Payload is passed to the worker unchanged.
	Payload string `json:"payload,omitempty" toml:"payload"`
	// Key identifies the submission: a second submission with the same key refers to
	// the same job.
	Key IdempotencyKey `json:"key" toml:"key"`
}

// Jobs is a list of jobs.
type Jobs []Job

// Defaults sets omitted fields to their defaults.
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

// Validate adds a finding for each invalid field of the job, prefixed with path.
func (j Job) Validate(f *Findings, path string) {
	ValidateName(f, path+"name", string(j.Name))
	ValidateName(f, path+"team", string(j.Team))
	ValidateName(f, path+"pool", string(j.Pool))
	j.Need.validate(f, path+"need")
	if j.Need == (Resources{}) {
		f.Add(path+"need", "is missing; name processors, memory or accelerators")
	}
	switch j.Kind {
	case KindBatch, KindGang, KindWatcher:
	default:
		f.Add(path+"kind", "is %q; it must be batch, gang or watcher", j.Kind)
	}
	ValidateRange(f, path+"tasks", int64(j.Tasks), 1, MaxTasks)
	ValidateRange(f, path+"attempts", int64(j.Attempts), 1, MaxAttempts)
	ValidateRange(f, path+"priority", int64(j.Priority), 0, int64(PriorityUrgent))
	if j.RunTime <= 0 || j.RunTime > MaxRunTime {
		f.Add(path+"runTime", "is %s; it must be above 0 and at most %s", j.RunTime, MaxRunTime)
	}
	if len(j.Payload) > int(MaxPayload) {
		f.Add(path+"payload", "is %d bytes long; at most %d are allowed", len(j.Payload), MaxPayload)
	}
	j.Key.Validate(f, path+"key")
}
