package shell

import (
	"context"
	"encoding/json"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/place"
	"endiveroute.example/endive/wire"
)

// jobsTimeout bounds the answer of one holder.
const jobsTimeout = endive.Interval(2 * time.Second)

// jobsAnswered is a peer's answer to a question for jobs.
type jobsAnswered struct {
	answer *wire.JobsAnswer
}

// IsAction marks jobsAnswered as an action, so that a call can wait for it.
func (jobsAnswered) IsAction() {}

// jobsQuestion answers a peer that asks for the jobs of a slice held here.
type jobsQuestion struct {
	shell *Shell
	from  endive.EntryID
	ask   *wire.JobsAsk
}

func (q *jobsQuestion) run() {
	ctx, cancel := context.WithTimeout(context.Background(), time.Duration(jobsTimeout))
	defer cancel()
	slice := endive.SliceID(q.ask.GetSlice())
	statuses, more, err := q.shell.localJobs(ctx, slice, endive.JobID(q.ask.GetJob()), int(q.ask.GetLimit()))
	if err != nil {
		return
	}
	encoded, err := json.Marshal(statuses)
	if err != nil {
		q.shell.log.Error("jobs can't be encoded", "error", err.Error())
		return
	}
	q.shell.mesh.Send(q.from, &wire.JobsAnswer{Tag: q.ask.GetTag(), Jobs: encoded, More: more})
}

// localJobs asks the machine of a slice for one job or all.
func (s *Shell) localJobs(ctx context.Context, slice endive.SliceID, job endive.JobID, limit int) ([]endive.JobStatus, bool, error) {
	r := s.placer(slice)
	if r == nil {
		return nil, false, endive.ErrNotFound.New("slice %s is not held here", slice)
	}
	tag := s.waiters.nextTag()
	var question endive.Event = place.ListJobs{Tag: place.Tag(tag), Limit: limit}
	if job != "" {
		question = place.ExplainJob{Tag: place.Tag(tag), Job: job}
	}
	action, err := s.askRole(ctx, r, tag, question)
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

// remoteJobs asks the holder of a slice for one job or all.
func (s *Shell) remoteJobs(ctx context.Context, holder endive.EntryID, slice endive.SliceID, job endive.JobID) ([]endive.JobStatus, error) {
	tag := s.waiters.nextTag()
	key := waitKey("jobs", tag)
	answers := s.waiters.expect(key)
	ask := &wire.JobsAsk{Tag: tag, Slice: string(slice), Job: string(job), Limit: maxSliceJobs}
	if !s.mesh.Send(holder, ask) {
		s.waiters.forget(key)
		return nil, endive.ErrUnavailable.New("entry %s, which holds slice %s, can't be reached", holder, slice)
	}
	action, err := s.waiters.wait(ctx, key, answers)
	if err != nil {
		return nil, endive.ErrUnavailable.New("entry %s, which holds slice %s, gives no answer", holder, slice)
	}
	var statuses []endive.JobStatus
	if err := json.Unmarshal(action.(jobsAnswered).answer.GetJobs(), &statuses); err != nil {
		return nil, endive.ErrInvalid.New("Shell.remoteJobs: %w", err)
	}
	return statuses, nil
}
