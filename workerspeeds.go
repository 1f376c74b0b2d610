package endive

// WorkerSpeeds estimates how long tasks take on a worker compared with the other workers of the
// pool. Pools have machines of several kinds.
type WorkerSpeeds interface {
	// Record takes the run times of the tasks of one step, which are alike.
	Record(runs []TimedRun)
	// Factor returns the ratio of a task's run time on the worker to that on a usual worker; 1
	// if it isn't known.
	Factor(worker FleetWorker) float64
}

// TimedRun is how long a task ran on a worker.
type TimedRun struct {
	Worker   FleetWorker
	Duration Interval
}
