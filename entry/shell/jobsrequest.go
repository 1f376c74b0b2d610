package shell

import (
	"context"
	"encoding/json"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/place"
	"endiveroute.example/endive/wire"
)

// jobsTimeout bounds the wait for the holders' answers to one request for jobs.
const jobsTimeout = endive.Interval(2 * time.Second)

// jobsResponse is a peer's answer to a request for jobs.
type jobsResponse struct {
	answer *wire.JobsAnswer
}

// IsAction marks jobsResponse as an action, so that a call can wait for it.
func (jobsResponse) IsAction() {}

// jobsRequest is a peer's request for jobs of a slice that this entry holds.
type jobsRequest struct {
	shell   *Shell
	from    endive.EntryID
	request *wire.JobsAsk
}

// run sends the jobs to the peer. If they can't be read, it sends nothing and
// the peer's request times out.
func (q *jobsRequest) run() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(jobsTimeout))
	defer cancel()
	slice := endive.SliceID(q.request.GetSlice())
	statuses, more, err := q.shell.localJobs(ctx, slice, endive.JobID(q.request.GetJob()), int(q.request.GetLimit()))
	if err != nil {
		return
	}
	encoded, err := json.Marshal(statuses)
	if err != nil {
		q.shell.log.Error("can't encode jobs for a peer", "error", err.Error())
		return
	}
	q.shell.mesh.Send(q.from, &wire.JobsAnswer{Tag: q.request.GetTag(), Jobs: encoded, More: more})
}

// localJobs returns one job, or all if no job is given, of a slice that this
// entry holds. It reports whether there are more jobs than the limit.
func (s *Shell) localJobs(ctx context.Context, slice endive.SliceID, job endive.JobID, limit int) ([]endive.JobStatus, bool, error) {
	r := s.placer(slice)
	if r == nil {
		return nil, false, endive.ErrNotFound.New("this entry does not hold slice %s", slice)
	}
	tag := s.waiters.nextTag()
	var event endive.Event = place.ListJobs{Tag: place.Tag(tag), Limit: limit}
	if job != "" {
		event = place.ExplainJob{Tag: place.Tag(tag), Job: job}
	}
	action, err := s.requestRole(ctx, r, tag, event)
	if err != nil {
		return nil, false, err
	}
	switch a := action.(type) {
	case place.Explanation:
		if !a.Found {
			return nil, false, nil
		}
		return []endive.JobStatus{a.Status}, false, nil
	case place.Listing:
		return a.Jobs, a.More, nil
	}
	return nil, false, nil
}

// remoteJobs requests one job, or all if no job is given, from the entry that
// holds the slice.
func (s *Shell) remoteJobs(ctx context.Context, holder endive.EntryID, slice endive.SliceID, job endive.JobID) ([]endive.JobStatus, error) {
	tag := s.waiters.nextTag()
	key := waitKey("jobs", tag)
	answers := s.waiters.register(key)
	request := &wire.JobsAsk{Tag: tag, Slice: string(slice), Job: string(job), Limit: maxSliceJobs}
	if !s.mesh.Send(holder, request) {
		s.waiters.unregister(key)
		return nil, endive.ErrUnavailable.New("entry %s, which holds slice %s, can't be reached", holder, slice)
	}
	action, err := s.waiters.wait(ctx, key, answers)
	if err != nil {
		return nil, endive.ErrUnavailable.New("entry %s, which holds slice %s, does not answer", holder, slice)
	}
	var statuses []endive.JobStatus
	if err := json.Unmarshal(action.(jobsResponse).answer.GetJobs(), &statuses); err != nil {
		return nil, endive.ErrInvalid.New("Shell.remoteJobs: %w", err)
	}
	return statuses, nil
}
