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

// sender sends one arrival.
type sender struct {
	runner  *Runner
	arrival Arrival
	due     time.Time
}

// run sends the arrival and records the result.
func (s *sender) run(ctx context.Context) {
	r := s.runner
	defer r.pending.Done()
	defer s.release()
	r.results.recordSent(s.arrival.Kind, r.clock.Now().Sub(s.due))
	if s.arrival.Kind == Plan {
		s.submitJob(ctx)
		return
	}
	s.sendRequest(ctx)
}

// release frees the arrival's place among the requests in flight.
func (s *sender) release() { <-s.runner.inFlight }

// sendRequest sends a quote or a cut to its service.
func (s *sender) sendRequest(ctx context.Context) {
	r, arrival := s.runner, s.arrival
	request := apiv1.Request{
		Service:  r.target.Quote,
		Deadline: r.target.Timeout.After(s.due),
		Body:     []byte("time=" + arrival.ServiceTime.String() + " " + arrival.ID),
	}
	if arrival.Kind == Cut {
		request.Service, request.Key, request.NonIdempotent = r.target.Cut, endive.IdempotencyKey(arrival.ID), true
	}
	answer, _ := r.client.SendRequest(ctx, request)
	latency := r.clock.Now().Sub(s.due)
	switch answer.Outcome {
	case endive.NotRun:
		r.results.update(arrival.Kind, func(result *Result) { result.NotRun++ })
	case endive.Unknown:
		r.results.update(arrival.Kind, func(result *Result) { result.Unknown++ })
	default:
		s.checkAnswer(answer, latency)
	}
}

// checkAnswer records a response as answered, as failed, or as wrong if it belongs to
// another request.
func (s *sender) checkAnswer(answer apiv1.Answer, latency time.Duration) {
	kind := s.arrival.Kind
	switch {
	case answer.Status >= http.StatusBadRequest:
		s.runner.results.update(kind, func(result *Result) { result.Failed++ })
	case !bytes.HasSuffix(bytes.TrimSpace(answer.Body), []byte(" "+s.arrival.ID)):
		s.runner.results.update(kind, func(result *Result) { result.Wrong++ })
	default:
		s.runner.results.recordAnswered(kind, latency, s.arrival.ServiceTime)
	}
}

// submitJob submits a plan as a job.
func (s *sender) submitJob(ctx context.Context) {
	r, arrival := s.runner, s.arrival
	ctx, cancel := context.WithDeadline(ctx, r.target.Timeout.After(s.due))
	defer cancel()
	job := endive.Job{
		Name: "meter-plan", Team: r.target.Team, Pool: r.target.Pool, Tasks: arrival.Tasks,
		Need:     endive.Resources{Processors: planProcessors, Memory: planMemory},
		Priority: endive.PriorityNormal, RunTime: arrival.ServiceTime, Key: endive.IdempotencyKey(arrival.ID),
		Payload: "run=" + arrival.ServiceTime.String() + " name=" + arrival.ID + " tasks=" + strconv.Itoa(arrival.Tasks),
	}
	job.Defaults()
	status, err := r.client.Submit(ctx, job)
	latency := r.clock.Now().Sub(s.due)
	var refused *apiv1.Error
	switch {
	case err == nil:
		r.results.addJob(status.Job.ID)
		r.results.recordAnswered(Plan, latency, 0)
	case client.ErrUnreachable.Has(err), errors.As(err, &refused) && refused.Code != apiv1.CodeUnknown:
		r.results.update(Plan, func(result *Result) { result.NotRun++ })
	default:
		r.results.update(Plan, func(result *Result) { result.Unknown++ })
	}
}

// Resources that each task of a plan needs.
const (
	planProcessors = endive.MilliProcessors(4000)
	planMemory     = 4 * endive.GiB
)
