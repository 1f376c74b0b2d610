package apiv1

import (
	"net/http"
	"strings"

	"endiveroute.example/endive"
)

// ErrorCode is a kind of error, which programs can compare.
type ErrorCode string

// The error codes.
const (
	// CodeInvalid means that the input is invalid; Findings list the errors.
	CodeInvalid ErrorCode = "invalid"
	// CodeTooLarge means that the body or the headers exceed their maximum size.
	CodeTooLarge ErrorCode = "tooLarge"
	// CodeMethodNotAllowed means that the path doesn't support the method.
	CodeMethodNotAllowed ErrorCode = "method"
	// CodeNotFound means that the requested resource doesn't exist.
	CodeNotFound ErrorCode = "notFound"
	// CodeConflict means that the input conflicts with an earlier ticket, job or
	// request; Conflicts list the conflicting tickets.
	CodeConflict ErrorCode = "conflict"
	// CodeRefused means that the input is valid but can never be carried out; Findings
	// list the reasons.
	CodeRefused ErrorCode = "refused"
	// CodeBusy means that the entry is overloaded. Nothing was done.
	CodeBusy ErrorCode = "busy"
	// CodeUnavailable means that a resource or service that the call needs is
	// unavailable. Nothing was done.
	CodeUnavailable ErrorCode = "unavailable"
	// CodeUnknown means that it isn't known yet whether the call was carried out.
	CodeUnknown ErrorCode = "unknown"
	// CodeInternal means that the entry had an internal error.
	CodeInternal ErrorCode = "internal"
)

// Error is the body of each answer that reports an error.
type Error struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	// Next is a hint on what the client can do next.
	Next      string          `json:"next,omitempty"`
	Findings  endive.Findings `json:"findings,omitempty"`
	Conflicts Conflicts       `json:"conflicts,omitempty"`
	// Outcome is set for a request to a service.
	Outcome endive.Outcome `json:"outcome,omitempty"`
	// RetryAfter is the time to wait before trying again.
	RetryAfter endive.Interval `json:"retryAfter,omitempty"`
}

// Error formats the error as one line, followed by a line for each finding and
// conflict.
func (e *Error) Error() string {
	lines := []string{string(e.Code) + ": " + e.Message}
	for _, f := range e.Findings {
		lines = append(lines, "  "+f.String())
	}
	for _, c := range e.Conflicts {
		lines = append(lines, "  "+c.String())
	}
	return strings.Join(lines, "\n")
}

// Status returns the HTTP status of the error.
func (e *Error) Status() int {
	switch e.Code {
	case CodeInvalid:
		return http.StatusBadRequest
	case CodeTooLarge:
		return http.StatusRequestEntityTooLarge
	case CodeMethodNotAllowed:
		return http.StatusMethodNotAllowed
	case CodeNotFound:
		return http.StatusNotFound
	case CodeConflict:
		return http.StatusConflict
	case CodeRefused:
		return http.StatusUnprocessableEntity
	case CodeBusy:
		return http.StatusTooManyRequests
	case CodeUnavailable:
		return http.StatusServiceUnavailable
	case CodeUnknown:
		return http.StatusGatewayTimeout
	default:
		return http.StatusInternalServerError
	}
}
