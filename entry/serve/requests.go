package serve

import (
	"net/http"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
	"endiveroute.example/endive/strict"
)

// requestRoutes returns the calls about requests to services.
func (s *Server) requestRoutes() []route {
	return []route{
		{http.MethodPost, apiv1.PathRequests, s.requests, true, s.runRequest},
		{http.MethodGet, apiv1.PathOutcome, s.operations, false, s.outcome},
	}
}

// runRequest runs a request to a service.
func (s *Server) runRequest(w http.ResponseWriter, r *http.Request) error {
	request, err := s.readRequest(r)
	if err != nil {
		return err
	}
	size := r.ContentLength
	if size < 0 || size > int64(apiv1.MaxBody) {
		size = int64(apiv1.MaxBody)
	}
	if !s.bodies.acquire(size) {
		return &apiv1.Error{Code: apiv1.CodeBusy, Message: "this entry holds too many request bodies; nothing was done", Next: "Try again later, or send it to another entry.", RetryAfter: defaultRetryAfter}
	}
	defer s.bodies.release(size)
	if request.Body, err = readBody(w, r, apiv1.MaxBody); err != nil {
		return err
	}
	writeAnswer(w, s.Backend.RunRequest(r.Context(), request))
	return nil
}

// readRequest reads a request from the path and headers of a call, without the
// body.
func (s *Server) readRequest(r *http.Request) (apiv1.Request, error) {
	var f endive.Findings
	readQuery(&f, r)
	values := readHeaders(&f, r.Header, apiv1.HeaderTimeout, apiv1.HeaderKey, apiv1.HeaderNonIdempotent)
	request := apiv1.Request{
		ID:       s.nextRequestID(),
		Service:  endive.ServiceName(r.PathValue("service")),
		Key:      endive.IdempotencyKey(values[apiv1.HeaderKey]),
		Deadline: readTimeout(&f, values, s.Clock.Now(), time.Time{}),
	}
	endive.ValidateName(&f, "path service", string(request.Service))
	switch text, given := values[apiv1.HeaderNonIdempotent]; {
	case text == "true":
		request.NonIdempotent = true
	case given && text != "false":
		f.Add("header "+apiv1.HeaderNonIdempotent, `is %q; it must be "true" or "false"`, strict.Shorten(text))
	}
	if _, given := values[apiv1.HeaderKey]; given || request.NonIdempotent {
		request.Key.Validate(&f, "header "+apiv1.HeaderKey)
	}
	return request, f.Err()
}

// writeAnswer writes the response to a request to a service.
func writeAnswer(w http.ResponseWriter, answer apiv1.Answer) {
	header := w.Header()
	header.Set(apiv1.HeaderRequest, string(answer.Request))
	if answer.Repeated {
		header.Set(apiv1.HeaderRepeated, "true")
	}
	switch answer.Outcome {
	case endive.Answered:
		header.Set(apiv1.HeaderOutcome, string(answer.Outcome))
		if answer.Status < http.StatusOK || answer.Status > maxStatus {
			header.Set(apiv1.HeaderReason, "the executor's status was out of range")
			answer.Status = http.StatusBadGateway
		}
		writeBody(w, answer.Status, "application/octet-stream", answer.Body)
	case endive.NotRun:
		if answer.AttemptOnly {
			header.Set(apiv1.HeaderScope, apiv1.ScopeAttempt)
		}
		writeError(w, refusalError(answer))
	default:
		failed := &apiv1.Error{
			Code: apiv1.CodeUnknown, Message: "an executor may have run the request: " + answer.Reason, Outcome: endive.Unknown,
			Next: "Look up the outcome under the request's key. Without a key, send the request again only if it is idempotent.",
		}
		status := http.StatusBadGateway
		if answer.TimedOut {
			status = http.StatusGatewayTimeout
		}
		writeErrorStatus(w, failed, status)
	}
}

// maxStatus is the highest valid HTTP status.
const maxStatus = 599

// refusalError returns the error for a request that was not run.
func refusalError(answer apiv1.Answer) *apiv1.Error {
	failed := &apiv1.Error{Message: "the request was not run: " + answer.Reason, Outcome: endive.NotRun, RetryAfter: answer.RetryAfter}
	switch answer.Refusal {
	case apiv1.RefusalUnknownService:
		failed.Code = apiv1.CodeNotFound
		failed.Next = "Check the service's name. Operators add services with tickets."
		return failed
	case apiv1.RefusalMissingKey:
		failed.Code = apiv1.CodeInvalid
		failed.Findings.Add("header "+apiv1.HeaderKey, "is missing; the service's requests are non-idempotent: choose a key that is the same for each retry")
		failed.Next = "Send it again with a key."
		return failed
	case apiv1.RefusalKeyConflict:
		failed.Code = apiv1.CodeConflict
		failed.Next = "Use a new key for a new request."
		return failed
	case apiv1.RefusalBusy:
		failed.Code = apiv1.CodeBusy
	default:
		failed.Code = apiv1.CodeUnavailable
	}
	failed.Next = "Send it again after the time in Retry-After, under the same key if it has one."
	if answer.AttemptOnly {
		failed.Message = "this attempt was not run: " + answer.Reason
		failed.Next = "Send it again after the time in Retry-After, under the same key: an earlier request under it may have been run."
	}
	if failed.RetryAfter <= 0 {
		failed.RetryAfter = defaultRetryAfter
	}
	return failed
}

// outcome looks up the recorded outcome of a request by its key.
func (s *Server) outcome(w http.ResponseWriter, r *http.Request) error {
	var f endive.Findings
	readQuery(&f, r)
	readHeaders(&f, r.Header)
	service, key := endive.ServiceName(r.PathValue("service")), endive.IdempotencyKey(r.PathValue("key"))
	endive.ValidateName(&f, "path service", string(service))
	key.Validate(&f, "path key")
	if err := f.Err(); err != nil {
		return err
	}
	recorded, err := s.Backend.Outcome(r.Context(), service, key)
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, recorded)
	return nil
}
