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
	// retryNotReady is when callers come back to an entry that isn't ready.
	retryNotReady = endive.Interval(time.Second)
	// answerGrace is how long after a request's deadline its machines may take to
	// say what became of it.
	answerGrace = endive.Interval(2 * time.Second)
	// lookupTimeout bounds the look-up of an outcome.
	lookupTimeout = endive.Interval(5 * time.Second)
)

// Ask implements serve.Requests.
func (s *Shell) Ask(ctx context.Context, request apiv1.Request) apiv1.Answer {
	if !s.Ready() {
		return refuse(request, apiv1.RefusalUnavailable, "this entry is not ready", retryNotReady)
	}
	service, ok := s.config.Load().Service(request.Service)
	if !ok {
		return refuse(request, apiv1.RefusalUnknownService, "there is no service "+string(request.Service), 0)
	}
	if request.Deadline.IsZero() {
		request.Deadline = service.Timeout.After(s.clock.Now())
	}
	ask := route.Ask{
		Request:       request.ID,
		Service:       request.Service,
		Deadline:      request.Deadline,
		NonIdempotent: request.NonIdempotent || service.NonIdempotent,
		Body:          request.Body,
		Digest:        route.Digest(digest(request.Body)),
	}
	if ask.NonIdempotent && request.Key == "" {
		return refuse(request, apiv1.RefusalMissingKey, "it has no key", 0)
	}
	if request.Key != "" {
		return s.askOnce(ctx, request, ask)
	}
	return s.askRoute(ctx, request, ask)
}

// digest tells equal bodies.
func digest(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// refuse returns the answer of a request that was not run.
func refuse(request apiv1.Request, kind apiv1.RefusalKind, reason string, retryAfter endive.Interval) apiv1.Answer {
	return apiv1.Answer{
		Request: request.ID, Outcome: endive.NotRun, Refusal: kind, Reason: reason, RetryAfter: retryAfter,
		AttemptOnly: request.Key != "",
	}
}

// routeKey names the answer to a request.
func routeKey(request endive.RequestID) string { return "request/" + string(request) }

// askRoute runs an idempotent request.
func (s *Shell) askRoute(ctx context.Context, request apiv1.Request, ask route.Ask) apiv1.Answer {
	ctx, cancel := context.WithDeadline(ctx, answerGrace.After(ask.Deadline))
	defer cancel()
	key := routeKey(request.ID)
	answers := s.waiters.expect(key)
	s.route.tell(ask)
	action, err := s.waiters.wait(ctx, key, answers)
	if err != nil {
		s.route.tell(route.Abandon{Request: request.ID})
		return apiv1.Answer{Request: request.ID, Outcome: endive.Unknown, TimedOut: true, Reason: "the caller left, or the deadline passed"}
	}
	a := action.(route.Answer)
	return s.answer(request, a.Outcome, a.Status, a.Body, a.RetryAt, a.Reason)
}

// askOnce runs a request under a key: its intent is recorded before it is sent,
// and its outcome afterwards. The request goes on where the caller leaves, so
// that its outcome is known under the key.
func (s *Shell) askOnce(ctx context.Context, request apiv1.Request, ask route.Ask) apiv1.Answer {
	ask.NonIdempotent = true
	s.mu.Lock()
	s.proposals[request.ID] = ask
	s.mu.Unlock()
	tag := s.waiters.nextTag()
	ctx, cancel := context.WithDeadline(ctx, answerGrace.After(ask.Deadline))
	defer cancel()
	action, err := s.askRole(ctx, s.keep, tag, keep.Begin{
		Tag: keep.Tag(tag), Request: request.ID, Service: request.Service, Key: request.Key,
		Digest: keep.Digest(ask.Digest), Deadline: ask.Deadline,
	})
	s.forgetProposal(request.ID)
	if err != nil {
		return apiv1.Answer{Request: request.ID, Outcome: endive.Unknown, TimedOut: true, Reason: "the caller left, or the deadline passed"}
	}
	a := action.(keep.Answer)
	if a.Conflict {
		return refuse(request, apiv1.RefusalKeyConflict, "the key stands for another request", 0)
	}
	answer := s.answer(request, a.Outcome, a.Status, a.Body, a.RetryAt, a.Reason)
	answer.TimedOut = a.Pending
	answer.AttemptOnly = a.Attempt
	return answer
}

// answer puts what became of a request into the shape of the interface.
func (s *Shell) answer(request apiv1.Request, outcome endive.Outcome, status int, body []byte, retryAt time.Time, reason string) apiv1.Answer {
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

// proceed sends a request whose intent is recorded. It is called in the keeper's
// actor.
func (s *Shell) proceed(p keep.Proceed) {
	s.mu.Lock()
	ask, ok := s.proposals[p.Request]
	s.mu.Unlock()
	if !ok {
		// The caller gave up before the intent was known to be recorded.
		s.keep.tell(keep.Done{Request: p.Request, Outcome: endive.NotRun})
		return
	}
	ask.Deadline = p.Deadline
	s.mu.Lock()
	s.kept[p.Request] = true
	s.mu.Unlock()
	s.route.tell(ask)
}

func (s *Shell) forgetProposal(request endive.RequestID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.proposals, request)
}

// requestAnswered hands the outcome of a request to the keeper where it was
// recorded as an intent, and else to the call that waits.
func (s *Shell) requestAnswered(a route.Answer) {
	s.scope.Tagged(map[string]string{"outcome": string(a.Outcome)}).Counter("requests").Inc(1)
	s.mu.Lock()
	kept := s.kept[a.Request]
	delete(s.kept, a.Request)
	s.mu.Unlock()
	if kept {
		s.keep.tell(keep.Done{Request: a.Request, Outcome: a.Outcome, Status: a.Status, Body: a.Body})
		return
	}
	s.waiters.answer(routeKey(a.Request), a)
}

// dispatch makes one attempt in a goroutine of its own.
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

func (s *Shell) forgetCall(attempt endive.AttemptID) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.calls, attempt)
}

// Outcome implements serve.Requests.
func (s *Shell) Outcome(ctx context.Context, service endive.ServiceName, key endive.IdempotencyKey) (apiv1.RecordedOutcome, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(lookupTimeout))
	defer cancel()
	tag := s.waiters.nextTag()
	action, err := s.askRole(ctx, s.keep, tag, keep.Lookup{Tag: keep.Tag(tag), Service: service, Key: key})
	if err != nil {
		return apiv1.RecordedOutcome{}, err
	}
	a := action.(keep.Answer)
	switch {
	case a.Missing:
		return apiv1.RecordedOutcome{}, endive.ErrNotFound.New("nothing is recorded under key %s of service %s", key, service)
	case a.Unavailable:
		return apiv1.RecordedOutcome{}, endive.ErrUnavailable.New("the table service gives no answer")
	case a.Pending:
		return apiv1.RecordedOutcome{Service: service, Key: key, Running: true, Reason: a.Reason}, nil
	}
	return apiv1.RecordedOutcome{Service: service, Key: key, Outcome: a.Outcome, Status: a.Status, Body: a.Body, Reason: a.Reason}, nil
}
