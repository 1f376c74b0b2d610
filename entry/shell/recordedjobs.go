package shell

import (
	"context"
	"encoding/json"

	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
	"endiveroute.example/endive/rows"
)

// recordedJobs returns the ids of the jobs that a cancellation by team or name selects, from
// the table's rows. A holder's list lacks the jobs that were accepted a moment ago, and all
// that a new holder hasn't read yet.
func (s *Shell) recordedJobs(ctx context.Context, c apiv1.Cancellation) ([]endive.JobID, error) {
	var ids []endive.JobID
	for slice := range s.knownSlices() {
		changes, err := s.store.Scan(ctx, rows.JobsPrefix(slice), 0)
		if err != nil {
			return nil, endive.ErrUnavailable.New("Shell.recordedJobs: the jobs of slice %s can't be read: %w", slice, err)
		}
		for _, row := range changes.Rows {
			if row.Deleted {
				continue
			}
			var job endive.Job
			if err := json.Unmarshal(row.Value, &job); err != nil {
				s.log.Error("can't decode a job's row", "key", row.Key, "error", err.Error())
				continue
			}
			if (c.Team == "" || c.Team == job.Team) && (c.Name == "" || c.Name == job.Name) {
				ids = append(ids, rows.ParseJobKey(slice, row.Key))
			}
		}
	}
	return ids, nil
}

// checkNotRecorded returns an error if the table has a row of a job that hasn't ended, or may have one.
func (s *Shell) checkNotRecorded(ctx context.Context, id endive.JobID) error {
	var keys []string
	for slice := range s.knownSlices() {
		keys = append(keys, rows.JobKey(slice, id))
	}
	if len(keys) == 0 {
		return endive.ErrUnavailable.New("this entry knows no slice; try again in a few seconds")
	}
	found, err := s.store.Read(ctx, keys...)
	if err == nil && len(found) > 0 {
		return endive.ErrUnavailable.New("job %s is accepted, and the holder of its slice hasn't read it yet; try again in a few seconds", id)
	}
	return err
}

// knownSlices returns the slices of the listed workers and those that an entry holds: a slice
// can have jobs while none of its workers is listed.
func (s *Shell) knownSlices() map[endive.SliceID]bool {
	known := make(map[endive.SliceID]bool)
	for _, slice := range endive.Slices(s.members.Load().Endpoints, *s.config.Load()) {
		known[slice.ID] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for slice := range s.holders {
		known[slice] = true
	}
	return known
}
