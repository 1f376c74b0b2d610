package shell

import (
	"context"
	"time"

	"endiveroute.example/endive"
)

// sliceQuery asks one holder, beside the questions to the others.
type sliceQuery struct {
	shell    *Shell
	holder   endive.EntryID
	slice    endive.SliceID
	job      endive.JobID
	ctx      context.Context
	results chan sliceResult
}

// sliceResult is what one holder said.
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

// collectJobs asks the holders of all slices for one job or all. It fails where
// a slice has no known holder or the holder gives no answer, unless the one job
// was found elsewhere: a part of the jobs must not pass for all of them.
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

// checkHolders returns an error that names a slice without a known holder, or nil.
func (s *Shell) checkHolders() error {
	slices := endive.Slices(s.members.Load().Endpoints, *s.config.Load())
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, slice := range slices {
		if s.holders[slice.ID].Entry == "" {
			return endive.ErrUnavailable.New("slice %s has no holder that this entry knows of; try again in some seconds", slice.ID)
		}
	}
	return nil
}
