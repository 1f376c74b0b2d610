package load

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
	"endiveroute.example/endive/client"
)

// shot sends one arrival.
type shot struct {
	runner  *Runner
	arrival Arrival
	due     time.Time
}

// run sends the arrival and records what became of it.
func (s *shot) run(ctx context.Context) {
	r := s.runner
	defer r.done.Done()
	defer s.leave()
	r.results.sent(s.arrival.Kind, r.clock.Now().Sub(s.due))
	if s.arrival.Kind == Plan {
		s.submit(ctx)
		return
	}
	s.ask(ctx)
}

// leave gives the place among those in flight back.
func (s *shot) leave() { <-s.runner.inFlight }

// ask sends a request to a service.
func (s *shot) ask(ctx context.Context) {
	r, one := s.runner, s.arrival
	request := apiv1.Request{
		Service:  r.target.Quote,
		Deadline: r.target.Timeout.After(s.due),
		Body:     []byte("time=" + one.Time.String() + " " + one.ID),
	}
	if one.Kind == Cut {
		request.Service, request.Key, request.NonIdempotent = r.target.Cut, endive.IdempotencyKey(one.ID), true
	}
	answer, _ := r.client.SendRequest(ctx, request)
	took := r.clock.Now().Sub(s.due)
	switch answer.Outcome {
	case endive.NotRun:
		r.results.count(one.Kind, func(result *Result) { result.NotRun++ })
	case endive.Unknown:
		r.results.count(one.Kind, func(result *Result) { result.Unknown++ })
	default:
		s.check(answer, took)
	}
}

// check records an answer, unless it isn't the one to this request.
func (s *shot) check(answer apiv1.Answer, took time.Duration) {
	kind := s.arrival.Kind
	switch {
	case answer.Status >= http.StatusBadRequest:
		s.runner.results.count(kind, func(result *Result) { result.Failed++ })
	case !bytes.HasSuffix(bytes.TrimSpace(answer.Body), []byte(" "+s.arrival.ID)):
		s.runner.results.count(kind, func(result *Result) { result.Wrong++ })
	default:
		s.runner.results.answered(kind, took, s.arrival.Time)
	}
}

// submit sends a job.
func (s *shot) submit(ctx context.Context) {
	r, one := s.runner, s.arrival
	ctx, cancel := context.WithDeadline(ctx, r.target.Timeout.After(s.due))
	defer cancel()
	job := endive.Job{
		Name: "meter-plan", Team: r.target.Team, Pool: r.target.Pool, Tasks: one.Tasks,
		Need:     endive.Resources{Processors: planProcessors, Memory: planMemory},
		Priority: endive.PriorityNormal, RunTime: one.Time, Key: endive.IdempotencyKey(one.ID),
		Payload: "run=" + one.Time.String() + " name=" + one.ID + " tasks=" + strconv.Itoa(one.Tasks),
	}
	job.Defaults()
	status, err := r.client.Submit(ctx, job)
	took := r.clock.Now().Sub(s.due)
	var refused *apiv1.Error
	switch {
	case err == nil:
		r.results.addJob(status.Job.ID)
		r.results.answered(Plan, took, 0)
	case client.ErrUnreachable.Has(err), errors.As(err, &refused) && refused.Code != apiv1.CodeUnknown:
		r.results.count(Plan, func(result *Result) { result.NotRun++ })
	default:
		r.results.count(Plan, func(result *Result) { result.Unknown++ })
	}
}

// What a task of a plan takes.
const (
	planProcessors = endive.MilliProcessors(4000)
	planMemory     = 4 * endive.GiB
)
