package endive

// PlacerTask describes a task to be assigned to a worker.
type PlacerTask struct {
	Kind JobKind
	Need Resources
}

// PlacerWorker is a worker with enough free capacity for the task.
type PlacerWorker struct {
	Size Resources
	// Free is the worker's unreserved capacity before the task is assigned.
	Free Resources
	// JobTasksOnRack counts the tasks of the same job on the worker's rack.
	JobTasksOnRack int
}

// Placer is the policy that selects among the workers with enough free capacity for a
// task. The caller checks capacity and quotas and determines the order of tasks.
type Placer interface {
	// Score rates a worker for a task. The worker with the highest score is selected;
	// among equal scores, the one with the lowest id.
	Score(task PlacerTask, worker PlacerWorker) float64
}
