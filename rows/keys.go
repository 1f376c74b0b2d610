package rows

import (
	"strings"

	"endiveroute.example/endive"
)

// SubmissionKey returns the key of the Submission for an idempotency key.
func SubmissionKey(key endive.IdempotencyKey) string { return "submissions/" + string(key) }

// JobsPrefix returns the common prefix of the keys of a slice's jobs.
func JobsPrefix(slice endive.SliceID) string { return "jobs/" + string(slice) + "/" }

// JobKey returns the key of an accepted job.
func JobKey(slice endive.SliceID, job endive.JobID) string { return JobsPrefix(slice) + string(job) }

// ProgressPrefix returns the common prefix of the keys of a slice's Progress rows.
func ProgressPrefix(slice endive.SliceID) string { return "progress/" + string(slice) + "/" }

// ProgressKey returns the key of a job's Progress.
func ProgressKey(slice endive.SliceID, job endive.JobID) string {
	return ProgressPrefix(slice) + string(job)
}

// CancelsPrefix returns the common prefix of the keys of a slice's cancellations.
func CancelsPrefix(slice endive.SliceID) string { return "cancels/" + string(slice) + "/" }

// CancelKey returns the key of the cancellation of a job.
func CancelKey(slice endive.SliceID, job endive.JobID) string {
	return CancelsPrefix(slice) + string(job)
}

// EndedKey returns the key of the final status of a job.
func EndedKey(job endive.JobID) string { return "ended/" + string(job) }

// ParseJobKey returns the ID of the job whose row has the given key.
func ParseJobKey(slice endive.SliceID, key string) endive.JobID {
	return endive.JobID(strings.TrimPrefix(key, JobsPrefix(slice)))
}

// ParseProgressKey returns the ID of the job whose Progress has the given key.
func ParseProgressKey(slice endive.SliceID, key string) endive.JobID {
	return endive.JobID(strings.TrimPrefix(key, ProgressPrefix(slice)))
}

// ParseCancelKey returns the ID of the job whose cancellation has the given key.
func ParseCancelKey(slice endive.SliceID, key string) endive.JobID {
	return endive.JobID(strings.TrimPrefix(key, CancelsPrefix(slice)))
}

// RosterKey returns the key of a slice's Roster.
func RosterKey(slice endive.SliceID) string { return "rosters/" + string(slice) }
