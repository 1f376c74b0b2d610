package shell

import (
	"context"
	"time"

	"endiveroute.example/endive"
)

// sliceQuery requests the jobs of one slice from its holder. The queries of
// several slices run concurrently.
type sliceQuery struct {
	shell   *Shell
	holder  endive.EntryID
	slice   endive.SliceID
	job     endive.JobID
	ctx     context.Context
	results chan sliceResult
}

// sliceResult is the answer of one holder.
type sliceResult struct {
	statuses []endive.JobStatus
	err      error
}

func (a *sliceQuery) run() {
	var result sliceResult
	if a.holder == a.shell.self.ID {
		result.statuses, _, result.err = a.shell.localJobs(a.ctx, a.slice, a.job, maxSliceJobs)
	} else {
		result.statuses, result.err = a.shell.remoteJobs(a.ctx, a.holder, a.slice, a.job)
	}
	a.results <- result
}

// collectJobs requests one job, or all if no job is given, from the holders of all
// slices. It fails if a slice has no known holder or a holder does not answer,
// since a partial list must not seem complete. But a request for one job succeeds
// if the job is found in another slice.
func (s *Shell) collectJobs(ctx context.Context, job endive.JobID) ([]endive.JobStatus, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(jobsTimeout))
	defer cancel()
	failed := s.checkHolders()
	s.mu.Lock()
	results := make(chan sliceResult, len(s.holders))
	queries := len(s.holders)
	for slice, h := range s.holders {
		go (&sliceQuery{shell: s, holder: h.Entry, slice: slice, job: job, ctx: ctx, results: results}).run()
	}
	s.mu.Unlock()
	var statuses []endive.JobStatus
	for range queries {
		result := <-results
		statuses = append(statuses, result.statuses...)
		if result.err != nil {
			failed = result.err
		}
	}
	if job != "" && len(statuses) > 0 {
		return statuses, nil
	}
	return statuses, failed
}

// checkHolders returns an error if a slice has no known holder.
func (s *Shell) checkHolders() error {
	slices := endive.Slices(s.members.Load().Endpoints, *s.config.Load())
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, slice := range slices {
		if s.holders[slice.ID].Entry == "" {
			return endive.ErrUnavailable.New("this entry knows no holder of slice %s; try again in a few seconds", slice.ID)
		}
	}
	return nil
}
