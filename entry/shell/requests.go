package shell

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
	"endiveroute.example/endive/keep"
	"endiveroute.example/endive/route"
)

const (
	// notReadyRetryAfter is the time after which clients may retry a request that
	// was refused because the entry wasn't ready.
	notReadyRetryAfter = endive.Interval(time.Second)
	// answerGrace is how long after a request's deadline the shell still waits for
	// a machine to report the request's outcome.
	answerGrace = endive.Interval(2 * time.Second)
	// lookupTimeout bounds the look-up of an outcome.
	lookupTimeout = endive.Interval(5 * time.Second)
)

// RunRequest implements serve.Requests.
func (s *Shell) RunRequest(ctx context.Context, request apiv1.Request) apiv1.Answer {
	if !s.Ready() {
		return refuse(request, apiv1.RefusalUnavailable, "this entry is not ready", notReadyRetryAfter)
	}
	service, ok := s.config.Load().Service(request.Service)
	if !ok {
		return refuse(request, apiv1.RefusalUnknownService, "there is no service "+string(request.Service), 0)
	}
	if request.Deadline.IsZero() {
		request.Deadline = service.Timeout.After(s.clock.Now())
	}
	ask := route.ClientRequest{
		Request:       request.ID,
		Service:       request.Service,
		Deadline:      request.Deadline,
		NonIdempotent: request.NonIdempotent || service.NonIdempotent,
		Body:          request.Body,
		Digest:        route.Digest(digest(request.Body)),
	}
	if ask.NonIdempotent && request.Key == "" {
		return refuse(request, apiv1.RefusalMissingKey, "a non-idempotent request needs a key", 0)
	}
	if request.Key != "" {
		return s.runKeyed(ctx, request, ask)
	}
	return s.runUnkeyed(ctx, request, ask)
}

// digest returns a hash of a body. Equal bodies have equal digests.
func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// refuse returns the answer to a request that was not run.
func refuse(request apiv1.Request, kind apiv1.RefusalKind, reason string, retryAfter endive.Interval) apiv1.Answer {
	return apiv1.Answer{
		Request: request.ID, Outcome: endive.NotRun, Refusal: kind, Reason: reason, RetryAfter: retryAfter,
		AttemptOnly: request.Key != "",
	}
}

// requestKey returns the key under which a call waits for the answer to a
// request.
func requestKey(request endive.RequestID) string { return "request/" + string(request) }

// runUnkeyed runs an idempotent request that has no key.
func (s *Shell) runUnkeyed(ctx context.Context, request apiv1.Request, ask route.ClientRequest) apiv1.Answer {
	ctx, cancel := context.WithDeadline(ctx, answerGrace.After(ask.Deadline))
	defer cancel()
	key := requestKey(request.ID)
	answers := s.waiters.register(key)
	s.route.send(ask)
	action, err := s.waiters.wait(ctx, key, answers)
	if err != nil {
		s.route.send(route.Abandon{Request: request.ID})
		return apiv1.Answer{Request: request.ID, Outcome: endive.Unknown, TimedOut: true, Reason: "the client disconnected or the deadline passed"}
	}
	a := action.(route.Answer)
	return s.newAnswer(request, a.Outcome, a.Status, a.Body, a.RetryAt, a.Reason)
}

// runKeyed runs a request with a key. It records the intent before the request is
// sent and the outcome afterwards. The request continues if the client
// disconnects, so that its outcome can be looked up under the key.
func (s *Shell) runKeyed(ctx context.Context, request apiv1.Request, ask route.ClientRequest) apiv1.Answer {
	ask.NonIdempotent = true
	s.mu.Lock()
	s.awaitingIntent[request.ID] = ask
	s.mu.Unlock()
	tag := s.waiters.nextTag()
	ctx, cancel := context.WithDeadline(ctx, answerGrace.After(ask.Deadline))
	defer cancel()
	action, err := s.requestRole(ctx, s.keep, tag, keep.BeginRequest{
		Tag: keep.Tag(tag), Request: request.ID, Service: request.Service, Key: request.Key,
		Digest: keep.Digest(ask.Digest), Deadline: ask.Deadline,
	})
	s.removeAwaitingIntent(request.ID)
	if err != nil {
		return apiv1.Answer{Request: request.ID, Outcome: endive.Unknown, TimedOut: true, Reason: "the client disconnected or the deadline passed"}
	}
	a := action.(keep.Result)
	if a.Conflict {
		return refuse(request, apiv1.RefusalKeyConflict, "the key was used for a different request", 0)
	}
	answer := s.newAnswer(request, a.Outcome, a.Status, a.Body, a.RetryAt, a.Reason)
	answer.TimedOut = a.Pending
	answer.AttemptOnly = a.AttemptOnly
	return answer
}

// newAnswer converts the outcome of a request to the API's type.
func (s *Shell) newAnswer(request apiv1.Request, outcome endive.Outcome, status int, body []byte, retryAt time.Time, reason string) apiv1.Answer {
	answer := apiv1.Answer{Request: request.ID, Outcome: outcome, Status: status, Body: body, Reason: reason}
	if !retryAt.IsZero() {
		answer.RetryAfter = endive.Interval(max(0, retryAt.Sub(s.clock.Now())))
	}
	if outcome == endive.NotRun {
		answer.Refusal = apiv1.RefusalUnavailable
		if !retryAt.IsZero() {
			answer.Refusal = apiv1.RefusalBusy
		}
	}
	return answer
}

// routeRecorded sends a request whose intent is recorded to the route machine. It
// must be called in the actor that records intents and outcomes.
func (s *Shell) routeRecorded(p keep.SendRequest) {
	s.mu.Lock()
	ask, ok := s.awaitingIntent[p.Request]
	s.mu.Unlock()
	if !ok {
		// The call timed out or was cancelled before the intent was confirmed as
		// recorded.
		s.keep.send(keep.RequestDone{Request: p.Request, Outcome: endive.NotRun})
		return
	}
	ask.Deadline = p.Deadline
	s.mu.Lock()
	s.intentRecorded[p.Request] = true
	s.mu.Unlock()
	s.route.send(ask)
}

func (s *Shell) removeAwaitingIntent(request endive.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.awaitingIntent, request)
}

// handleAnswer passes the outcome of a request to the machine that records
// outcomes if the request's intent is recorded, and otherwise to the waiting
// call.
func (s *Shell) handleAnswer(a route.Answer) {
	s.scope.Tagged(map[string]string{"outcome": string(a.Outcome)}).Counter("requests").Inc(1)
	s.mu.Lock()
	recorded := s.intentRecorded[a.Request]
	delete(s.intentRecorded, a.Request)
	s.mu.Unlock()
	if recorded {
		s.keep.send(keep.RequestDone{Request: a.Request, Outcome: a.Outcome, Status: a.Status, Body: a.Body})
		return
	}
	s.waiters.deliver(requestKey(a.Request), a)
}

// dispatch sends one attempt to an executor in a new goroutine.
func (s *Shell) dispatch(call endive.Call) {
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	s.calls[call.Attempt] = cancel
	s.mu.Unlock()
	go (&executorCall{shell: s, call: call, ctx: ctx, cancel: cancel}).run()
}

func (s *Shell) cancelCall(attempt endive.AttemptID) {
	s.mu.Lock()
	cancel := s.calls[attempt]
	s.mu.Unlock()
	if cancel != nil {
		cancel()
	}
}

func (s *Shell) removeCall(attempt endive.AttemptID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calls, attempt)
}

// Outcome implements serve.Requests.
func (s *Shell) Outcome(ctx context.Context, service endive.ServiceName, key endive.IdempotencyKey) (apiv1.RecordedOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(lookupTimeout))
	defer cancel()
	tag := s.waiters.nextTag()
	action, err := s.requestRole(ctx, s.keep, tag, keep.Lookup{Tag: keep.Tag(tag), Service: service, Key: key})
	if err != nil {
		return apiv1.RecordedOutcome{}, err
	}
	a := action.(keep.Result)
	switch {
	case a.NotFound:
		return apiv1.RecordedOutcome{}, endive.ErrNotFound.New("nothing is recorded under key %s of service %s", key, service)
	case a.Unavailable:
		return apiv1.RecordedOutcome{}, endive.ErrUnavailable.New("the table service does not answer")
	case a.Pending:
		return apiv1.RecordedOutcome{Service: service, Key: key, Running: true, Reason: a.Reason}, nil
	}
	return apiv1.RecordedOutcome{Service: service, Key: key, Outcome: a.Outcome, Status: a.Status, Body: a.Body, Reason: a.Reason}, nil
}
