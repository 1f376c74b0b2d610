package endive

import "time"

// WorkflowState is the state of a workflow as returned to clients.
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

// Limits of a Workflow.
const (
	MaxSteps       = 64
	MaxStepTasks   = 4096
	MaxOccurrences = 10000
)

// Workflow is a job that consists of steps. Each step is a number of equal tasks,
// which start when the steps that it depends on have succeeded.
type Workflow struct {
	ID      JobID     `json:"id"`
	Queue   QueueName `json:"queue"`
	Payload string    `json:"payload,omitempty"`
	Steps   []Step    `json:"steps"`
	// Schedule is set for a workflow that runs at fixed times.
	Schedule Schedule `json:"schedule"`
}

// Schedule determines when and how often the steps of a workflow run. The zero value
// means once, immediately.
type Schedule struct {
	// Occurrences is how many times the steps run; 0 means once, immediately.
	Occurrences int `json:"occurrences,omitempty"`
	// First is the wall-clock time at which the first occurrence is due.
	First time.Time `json:"first,omitzero"`
	// Period is the time between the starts of two occurrences, which may overlap.
	Period Interval `json:"period,omitempty"`
}

// Due returns when the occurrence with the given index, from 0, is due. The zero time
// means immediately.
func (s Schedule) Due(occurrence int) time.Time {
	if s.Occurrences == 0 {
		return time.Time{}
	}
	return s.First.Add(time.Duration(occurrence) * time.Duration(s.Period))
}

// Count returns the number of occurrences, at least 1.
func (s Schedule) Count() int { return max(1, s.Occurrences) }

// Validate adds a finding for each invalid field of the workflow.
func (w Workflow) Validate(f *Findings) {
	if len(w.Steps) == 0 {
		f.Add("steps", "is missing; add at least one step")
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
