package endive

import "fmt"

// Step is a part of a workflow: equal tasks that may run side by side.
type Step struct {
	// Tasks is how many tasks the step has.
	Tasks int `json:"tasks"`
	// Need is what each task takes.
	Need Resources `json:"need"`
	// Estimate is a rough guess of how long a task runs. It guides order, and
	// never ends a task.
	Estimate Interval `json:"estimate,omitempty"`
	// After lists the steps, counted from 0, that must have succeeded before.
	After []int `json:"after,omitempty"`
	// Checkpoints says that the tasks save their progress.
	Checkpoints bool `json:"checkpoints,omitempty"`
	// Gang says that the tasks work only together, all under one run number.
	Gang bool `json:"gang,omitempty"`
	// SameRack says that the tasks are slow unless they share a rack.
	SameRack bool `json:"sameRack,omitempty"`
	// Label must be among the worker's labels; empty means any worker.
	Label Label `json:"label,omitempty"`
	// DataRack is where the step's data lies; tasks on other racks are slow.
	DataRack Label `json:"dataRack,omitempty"`
	// MaxPerWorker bounds the tasks of the step on one worker; 0 means no bound.
	MaxPerWorker int `json:"maxPerWorker,omitempty"`
	// Speculative allows copies of a task to run side by side.
	Speculative bool `json:"speculative,omitempty"`
	// LongRunning tasks run until the workflow is cancelled, and are restarted
	// however they end.
	LongRunning bool `json:"longRunning,omitempty"`
	// Image names what the tasks run; tasks of one image behave alike.
	Image ImageName `json:"image,omitempty"`
	// LatencyTarget bounds the tail latency of what a long-running task serves; 0
	// means that it serves nobody.
	LatencyTarget Interval `json:"latencyTarget,omitempty"`
	// Opportunistic tasks use processors that the others leave idle: theirs aren't
	// counted against a worker's capacity.
	Opportunistic bool `json:"opportunistic,omitempty"`
	// MaxUnavailable is how many tasks of the step this system may have taken down
	// at the same time.
	MaxUnavailable int `json:"maxUnavailable,omitempty"`
}

// Reserved returns what a task of the step takes of a worker's capacity.
func (s Step) Reserved() Resources {
	need := s.Need
	if s.Opportunistic {
		need.Processors = 0
	}
	return need
}

// Serves reports whether the step's tasks serve users of their own, whose latency
// opportunistic tasks beside them harm.
func (s Step) Serves() bool { return s.LongRunning && s.LatencyTarget > 0 }

// validate adds everything wrong with step i of a workflow to f.
func (s Step) validate(f *Findings, i int) {
	place := fmt.Sprintf("steps[%d]", i)
	ValidateRange(f, place+".tasks", int64(s.Tasks), 1, MaxStepTasks)
	s.Need.validate(f, place+".need")
	ValidateRange(f, place+".maxPerWorker", int64(s.MaxPerWorker), 0, MaxStepTasks)
	ValidateRange(f, place+".maxUnavailable", int64(s.MaxUnavailable), 0, MaxStepTasks)
	if s.Estimate < 0 || s.LatencyTarget < 0 {
		f.Add(place, "has a negative length of time")
	}
	for _, before := range s.After {
		if before < 0 || before >= i {
			f.Add(place+".after", "names step %d; only earlier steps can come before step %d", before, i)
		}
	}
}
