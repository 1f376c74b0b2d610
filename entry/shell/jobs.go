package shell

import (
	"context"
	"encoding/json"
	"sort"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
	"endiveroute.example/endive/intake"
	"endiveroute.example/endive/rows"
)

const (
	// submitTimeout bounds the recording of a job or a cancellation.
	submitTimeout = endive.Interval(10 * time.Second)
	// maxSliceJobs bounds the jobs that the holder of a slice returns.
	maxSliceJobs = 20000
)

// Submit implements serve.Jobs.
func (s *Shell) Submit(ctx context.Context, job endive.Job) (apiv1.JobStatus, error) {
	if !s.Ready() {
		return apiv1.JobStatus{}, endive.ErrUnavailable.New("this entry is not ready")
	}
	tag := s.waiters.nextTag()
	a, err := s.requestIntake(ctx, tag, intake.Submit{Tag: intake.Tag(tag), Job: job})
	if err != nil {
		return apiv1.JobStatus{}, err
	}
	switch a.Status {
	case intake.Accepted:
		job.ID = a.Job
		return apiv1.JobStatus{Job: job, State: apiv1.JobWaiting, Slice: a.Slice, Tasks: apiv1.TaskCounts{Waiting: job.Tasks}}, nil
	case intake.Conflict:
		return apiv1.JobStatus{}, &apiv1.Error{
			Code: apiv1.CodeConflict, Message: "the key was used for a different job; nothing was recorded",
			Next: "Use a new key for a new job.",
		}
	case intake.Refused:
		return apiv1.JobStatus{}, &apiv1.Error{
			Code: apiv1.CodeRefused, Message: "the job can't be accepted; nothing was recorded", Findings: a.Findings,
			Next: "Correct each finding and submit the job again.",
		}
	}
	return apiv1.JobStatus{}, intakeError(a)
}

// requestIntake sends an event to the machine that accepts jobs and waits for its
// answer.
func (s *Shell) requestIntake(ctx context.Context, tag uint64, event endive.Event) (intake.Answer, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(submitTimeout))
	defer cancel()
	action, err := s.requestRole(ctx, s.intake, tag, event)
	if err != nil {
		return intake.Answer{}, err
	}
	return action.(intake.Answer), nil
}

// intakeError returns the error for an answer without a recorded job or
// cancellation.
func intakeError(a intake.Answer) error {
	switch a.Status {
	case intake.NotFound:
		return endive.ErrNotFound.New("there is no job %s", a.Job)
	case intake.Unavailable:
		return &apiv1.Error{
			Code: apiv1.CodeUnavailable, Message: "the table service does not answer; nothing was recorded",
			Next: "Try again after the time in Retry-After, under the same key.", RetryAfter: a.RetryAfter,
		}
	}
	return endive.ErrUnknown.New("it may have been recorded; send it again under the same key to find out")
}

// Job implements serve.Jobs.
func (s *Shell) Job(ctx context.Context, id endive.JobID) (apiv1.JobStatus, error) {
	statuses, err := s.collectJobs(ctx, id)
	if err != nil {
		return apiv1.JobStatus{}, err
	}
	if len(statuses) > 0 {
		return newJobStatus(statuses[0]), nil
	}
	// The row of the end is read last: a job that ends between the reads is found by one of them.
	recordedErr := s.checkNotRecorded(ctx, id)
	ended, err := s.store.Read(ctx, rows.EndedKey(id))
	if err != nil {
		return apiv1.JobStatus{}, err
	}
	if len(ended) == 0 && recordedErr != nil {
		return apiv1.JobStatus{}, recordedErr
	}
	if len(ended) == 0 {
		return apiv1.JobStatus{}, endive.ErrNotFound.New("there is no job %s", id)
	}
	var status endive.JobStatus
	if err := json.Unmarshal(ended[0].Value, &status); err != nil {
		return apiv1.JobStatus{}, endive.ErrInvalid.New("Shell.Job: row %s: %w", ended[0].Key, err)
	}
	return newJobStatus(status), nil
}

// Jobs implements serve.Jobs. The list excludes jobs that have ended: these can
// only be read one at a time, with Job.
func (s *Shell) Jobs(ctx context.Context, query apiv1.JobQuery) (apiv1.JobList, error) {
	statuses, err := s.collectJobs(ctx, "")
	if err != nil {
		return apiv1.JobList{}, err
	}
	sort.Slice(statuses, func(i, j int) bool { return statuses[i].Job < statuses[j].Job })
	list := apiv1.JobList{Jobs: []apiv1.JobStatus{}}
	for _, status := range statuses {
		shape := newJobStatus(status)
		if status.Job <= query.After || !matches(query, shape) {
			continue
		}
		if len(list.Jobs) == query.Limit {
			list.Next = list.Jobs[len(list.Jobs)-1].Job.ID
			break
		}
		list.Jobs = append(list.Jobs, shape)
	}
	return list, nil
}

// matches reports whether a job meets the conditions of a query.
func matches(query apiv1.JobQuery, job apiv1.JobStatus) bool {
	return (query.Team == "" || query.Team == job.Job.Team) &&
		(query.Name == "" || query.Name == job.Job.Name) &&
		(query.State == "" || query.State == job.State)
}

// Cancel implements serve.Jobs.
func (s *Shell) Cancel(ctx context.Context, c apiv1.Cancellation) (apiv1.Cancelled, error) {
	if c.Job != "" {
		return s.cancelJobs(ctx, []endive.JobID{c.Job})
	}
	ids, err := s.recordedJobs(ctx, c)
	if err != nil {
		return apiv1.Cancelled{}, err
	}
	return s.cancelJobs(ctx, ids)
}

// cancelJobs records cancellations. It submits all cancellations before it waits
// for the first answer, so that the machine can write them in groups.
func (s *Shell) cancelJobs(ctx context.Context, ids []endive.JobID) (apiv1.Cancelled, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(submitTimeout))
	defer cancel()
	pending := make(map[string]chan endive.Action, len(ids))
	for _, id := range ids {
		tag := s.waiters.nextTag()
		key := waitKey("intake", tag)
		pending[key] = s.waiters.register(key)
		s.intake.send(intake.Cancel{Tag: intake.Tag(tag), Job: id})
	}
	var cancelled apiv1.Cancelled
	var failed error
	for key, answers := range pending {
		action, err := s.waiters.wait(ctx, key, answers)
		if err != nil {
			failed = err
			continue
		}
		switch a := action.(intake.Answer); a.Status {
		case intake.Accepted:
			cancelled.Jobs++
		case intake.Ended: // There is nothing left to cancel.
		default:
			failed = intakeError(a)
		}
	}
	return cancelled, failed
}
