package endive

import "time"

// WorkflowState is what a caller is told of a workflow.
type WorkflowState string

// The states of a workflow.
const (
	WorkflowQueued    WorkflowState = "queued"
	WorkflowRunning   WorkflowState = "running"
	WorkflowSucceeded WorkflowState = "succeeded"
	WorkflowFailed    WorkflowState = "failed"
	WorkflowCancelled WorkflowState = "cancelled"
)

// Ended reports whether the state is final.
func (s WorkflowState) Ended() bool {
	return s == WorkflowSucceeded || s == WorkflowFailed || s == WorkflowCancelled
}

// Bounds of a Workflow.
const (
	MaxSteps       = 64
	MaxStepTasks   = 4096
	MaxOccurrences = 10000
)

// Workflow is a job of steps: each step is a number of equal tasks, which start
// when the steps before it have succeeded.
type Workflow struct {
	ID      JobID     `json:"id"`
	Queue   QueueName `json:"queue"`
	Payload string    `json:"payload,omitempty"`
	Steps   []Step    `json:"steps"`
	// Schedule is set for a workflow that runs at set times.
	Schedule Schedule `json:"schedule"`
}

// Schedule says how often, and when, the steps of a workflow run. The zero value
// means once and at once.
type Schedule struct {
	// Occurrences is how many times the steps run; 0 means once and at once.
	Occurrences int `json:"occurrences,omitempty"`
	// First is the time of day at which the first occurrence is due.
	First time.Time `json:"first,omitzero"`
	// Period lies between two occurrences, which may overlap.
	Period Interval `json:"period,omitempty"`
}

// Due returns when an occurrence, counted from 0, is due. The zero time means at
// once.
func (s Schedule) Due(occurrence int) time.Time {
	if s.Occurrences == 0 {
		return time.Time{}
	}
	return s.First.Add(time.Duration(occurrence) * time.Duration(s.Period))
}

// Count returns how many occurrences there are, at least 1.
func (s Schedule) Count() int { return max(1, s.Occurrences) }

// Validate adds everything wrong with w to f.
func (w Workflow) Validate(f *Findings) {
	if len(w.Steps) == 0 {
		f.Add("steps", "is missing; name at least one step")
	}
	if len(w.Steps) > MaxSteps {
		f.Add("steps", "lists %d steps; at most %d are allowed", len(w.Steps), MaxSteps)
	}
	if len(w.Payload) > int(MaxPayload) {
		f.Add("payload", "is %d bytes long; at most %d are allowed", len(w.Payload), MaxPayload)
	}
	ValidateRange(f, "schedule.occurrences", int64(w.Schedule.Occurrences), 0, MaxOccurrences)
	if w.Schedule.Period < 0 {
		f.Add("schedule.period", "is negative")
	}
	for i, step := range w.Steps {
		step.validate(f, i)
	}
}
