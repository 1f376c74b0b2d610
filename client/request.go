package client

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
)

// SendRequest sends a request to a service. The Answer's outcome is valid even
// if there is an error. If the outcome isn't Answered, the error is an
// *apiv1.Error from an entry, or an error of class ErrUnreachable,
// endive.ErrUnknown or endive.ErrInvalid.
//
// The request is sent to another entry if the first one can't be connected to
// or is unavailable and hasn't run it. After a lost answer, the request is sent
// again only if it is idempotent or has a key.
func (c *Client) SendRequest(ctx context.Context, request apiv1.Request) (apiv1.Answer, error) {
	if request.NonIdempotent {
		var f endive.Findings
		request.Key.Validate(&f, "key")
		if err := f.Err(); err != nil {
			return apiv1.Answer{Outcome: endive.NotRun, Reason: "the key is invalid"}, endive.ErrInvalid.Wrap(err)
		}
	}
	header := make(http.Header)
	if request.Key != "" {
		header.Set(apiv1.HeaderKey, string(request.Key))
	}
	if request.NonIdempotent {
		header.Set(apiv1.HeaderNonIdempotent, "true")
	}
	got, err := c.do(ctx, call{
		method: http.MethodPost, path: apiv1.RequestsPath(request.Service), header: header, body: request.Body,
		repeatable: !request.NonIdempotent || request.Key != "", deadline: request.Deadline,
	})
	switch {
	case ErrUnreachable.Has(err):
		return apiv1.Answer{Outcome: endive.NotRun, Refusal: apiv1.RefusalUnavailable, Reason: err.Error()}, err
	case err != nil:
		return apiv1.Answer{Outcome: endive.Unknown, Reason: err.Error()}, err
	}
	return got.answer()
}

// answer returns the outcome of a request from the entry's response.
func (r response) answer() (apiv1.Answer, error) {
	answer := apiv1.Answer{
		Request:  endive.RequestID(r.header.Get(apiv1.HeaderRequest)),
		Outcome:  endive.Outcome(r.header.Get(apiv1.HeaderOutcome)),
		Repeated: r.header.Get(apiv1.HeaderRepeated) == "true",

		AttemptOnly: r.header.Get(apiv1.HeaderScope) == apiv1.ScopeAttempt,
		TimedOut:    r.status == http.StatusGatewayTimeout,
	}
	if answer.Outcome == endive.Answered {
		answer.Status, answer.Body = r.status, r.body
		answer.TimedOut = false
		return answer, nil
	}
	err := r.failure()
	if err == nil {
		err = endive.ErrUnknown.New("status %d without an outcome; is this the address of an entry?", r.status)
	}
	answer.Reason = err.Error()
	if answer.Outcome != endive.NotRun || r.maybeExecuted {
		answer.Outcome = endive.Unknown
		return answer, err
	}
	answer.Refusal = refusal(err)
	if after, convErr := strconv.Atoi(r.header.Get(apiv1.HeaderRetryAfter)); convErr == nil {
		answer.RetryAfter = endive.Interval(time.Duration(after) * time.Second)
	}
	return answer, err
}

// refusal returns the kind of refusal for an error from an entry.
func refusal(err error) apiv1.RefusalKind {
	var failed *apiv1.Error
	if !errors.As(err, &failed) {
		return apiv1.RefusalUnavailable
	}
	switch failed.Code {
	case apiv1.CodeBusy:
		return apiv1.RefusalBusy
	case apiv1.CodeNotFound:
		return apiv1.RefusalUnknownService
	case apiv1.CodeConflict:
		return apiv1.RefusalKeyConflict
	}
	return apiv1.RefusalUnavailable
}

// Outcome returns the recorded outcome of the request with an idempotency key.
func (c *Client) Outcome(ctx context.Context, service endive.ServiceName, key endive.IdempotencyKey) (apiv1.RecordedOutcome, error) {
	var recorded apiv1.RecordedOutcome
	err := c.get(ctx, apiv1.OutcomePath(service, key), &recorded)
	return recorded, err
}

// get makes a GET call, which may be repeated, and decodes the answer into out.
func (c *Client) get(ctx context.Context, path string, out any) error {
	return c.json(ctx, call{method: http.MethodGet, path: path, repeatable: true}, nil, out)
}
