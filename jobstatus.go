package endive

// JobState is a stage of a job between its submission and its end.
type JobState string

// The states of a job. The last four are final.
const (
	JobQueued    JobState = "queued"
	JobRunning   JobState = "running"
	JobParked    JobState = "parked"
	JobSucceeded JobState = "succeeded"
	JobFailed    JobState = "failed"
	JobCancelled JobState = "cancelled"
	// JobUnknown means that the result of a non-idempotent task is unknown.
	JobUnknown JobState = "unknown"
)

// Final reports whether the job has ended.
func (s JobState) Final() bool {
	return s == JobSucceeded || s == JobFailed || s == JobCancelled || s == JobUnknown
}

// JobStatus is the status of a job as shown to operators. The counts are numbers of
// tasks.
type JobStatus struct {
	Job      JobID    `json:"job"`
	Name     JobName  `json:"name"`
	Team     TeamName `json:"team"`
	Pool     PoolName `json:"pool"`
	Slice    SliceID  `json:"slice"`
	Kind     JobKind  `json:"kind"`
	Priority Priority `json:"priority"`
	// Region, Tasks, Need and RunTime are the values from the submission.
	Region    Region    `json:"region,omitempty"`
	Tasks     int       `json:"tasks"`
	Need      Resources `json:"need"`
	RunTime   Interval  `json:"runTime"`
	State     JobState  `json:"state"`
	Waiting   int       `json:"waiting"`
	Running   int       `json:"running"`
	Succeeded int       `json:"succeeded"`
	Failed    int       `json:"failed"`
	Unknown   int       `json:"unknown"`
	// Workers are the workers on which tasks of the job run, in the order of the
	// tasks.
	Workers []WorkerID `json:"workers,omitempty"`
	// Reason explains why the job is waiting or how it ended.
	Reason string `json:"reason,omitempty"`
}
