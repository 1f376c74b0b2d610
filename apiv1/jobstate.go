package apiv1

// JobState is the state of a job.
type JobState string

// The states of a job.
const (
	JobWaiting    JobState = "waiting"
	JobRunning    JobState = "running"
	JobSucceeded  JobState = "succeeded"
	JobFailed     JobState = "failed"
	JobCancelling JobState = "cancelling"
	JobCancelled  JobState = "cancelled"
	// JobParked means that no current worker can run the job. It doesn't delay other jobs.
	JobParked JobState = "parked"
	// JobUnknown means that the result of a non-idempotent task of the job is
	// unknown, because the worker was lost before it confirmed the end of the
	// task.
	JobUnknown JobState = "unknown"
)
