package endive

import "fmt"

// Step is a part of a workflow: a number of equal tasks that may run concurrently.
type Step struct {
	// Tasks is the number of tasks of the step.
	Tasks int `json:"tasks"`
	// Need is the resources that each task requires.
	Need Resources `json:"need"`
	// Estimate is the approximate run time of a task. It affects the scheduling
	// order; tasks that run longer are not stopped.
	Estimate Interval `json:"estimate,omitempty"`
	// After lists the indexes, from 0, of the steps that must succeed before this
	// step starts.
	After []int `json:"after,omitempty"`
	// Checkpoints is true if the tasks save their progress.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang is true if the tasks can only run all together. They share one run number.
	Gang bool `json:"gang,omitempty"`
	// SameRack is true if the tasks are slow unless they all run in the same rack.
	SameRack bool `json:"sameRack,omitempty"`
	// Label is a label that a worker must have to run the tasks; empty means any worker.
	Label Label `json:"label,omitempty"`
	// DataRack is the rack that stores the step's data; tasks in other racks are
	// slower.
	DataRack Label `json:"dataRack,omitempty"`
	// MaxPerWorker is the maximum number of tasks of the step on one worker; 0 means
	// no limit.
	MaxPerWorker int `json:"maxPerWorker,omitempty"`
	// Speculative allows several copies of a task to run concurrently.
	Speculative bool `json:"speculative,omitempty"`
	// LongRunning is true for tasks that run until the workflow is cancelled. They are
	// restarted whenever they end, even after success.
	LongRunning bool `json:"longRunning,omitempty"`
	// Image names the program image of the tasks. Tasks with the same image are
	// assumed to behave similarly.
	Image ImageName `json:"image,omitempty"`
	// LatencyTarget is the target tail latency of user requests to a long-running
	// task; 0 means that the task serves no user requests.
	LatencyTarget Interval `json:"latencyTarget,omitempty"`
	// Opportunistic is true for tasks that only use idle processors. Their processors
	// don't count against a worker's capacity.
	Opportunistic bool `json:"opportunistic,omitempty"`
	// MaxUnavailable is the maximum number of the step's tasks that the scheduler may
	// keep stopped at the same time.
	MaxUnavailable int `json:"maxUnavailable,omitempty"`
}

// Reserved returns the capacity that a task of the step reserves on a worker.
func (s Step) Reserved() Resources {
	need := s.Need
	if s.Opportunistic {
		need.Processors = 0
	}
	return need
}

// Unit returns what has to start at once: a task, or all tasks of a gang.
func (s Step) Unit() Resources {
	if s.Gang {
		return s.Need.Times(int64(s.Tasks))
	}
	return s.Need
}

// Serves reports whether the step's tasks serve user requests. Opportunistic tasks on
// the same worker increase the latency of those requests.
func (s Step) Serves() bool { return s.LongRunning && s.LatencyTarget > 0 }

// validate adds a finding for each invalid field of the step, which has the given index
// in its workflow.
func (s Step) validate(f *Findings, index int) {
	path := fmt.Sprintf("steps[%d]", index)
	ValidateRange(f, path+".tasks", int64(s.Tasks), 1, MaxStepTasks)
	s.Need.validate(f, path+".need")
	ValidateRange(f, path+".maxPerWorker", int64(s.MaxPerWorker), 0, MaxStepTasks)
	ValidateRange(f, path+".maxUnavailable", int64(s.MaxUnavailable), 0, MaxStepTasks)
	if s.Estimate < 0 || s.LatencyTarget < 0 {
		f.Add(path, "has a negative duration")
	}
	for _, dependency := range s.After {
		if dependency < 0 || dependency >= index {
			f.Add(path+".after", "lists step %d; step %d can depend only on earlier steps", dependency, index)
		}
	}
}
