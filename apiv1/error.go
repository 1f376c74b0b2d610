package apiv1

import (
	"net/http"
	"strings"

	"endiveroute.example/endive"
)

// ErrorCode names a kind of error for programs.
type ErrorCode string

// The error codes.
const (
	// CodeInvalid means that the input is wrong; Findings say where.
	CodeInvalid ErrorCode = "invalid"
	// CodeTooLarge means that the body or the headers exceed a bound.
	CodeTooLarge ErrorCode = "tooLarge"
	// CodeMethodNotAllowed means that the path doesn't take the method.
	CodeMethodNotAllowed ErrorCode = "method"
	// CodeNotFound means that there is nothing under the name.
	CodeNotFound ErrorCode = "notFound"
	// CodeConflict means that another ticket, job or request holds what was asked
	// for; Conflicts say which.
	CodeConflict ErrorCode = "conflict"
	// CodeRefused means that the input is well-formed and can never be carried
	// out; Findings give each reason.
	CodeRefused ErrorCode = "refused"
	// CodeBusy means that the entry has too much to do. Nothing was done.
	CodeBusy ErrorCode = "busy"
	// CodeUnavailable means that something needed is out of use. Nothing was
	// done.
	CodeUnavailable ErrorCode = "unavailable"
	// CodeUnknown means that it can't be told yet whether it was done.
	CodeUnknown ErrorCode = "unknown"
	// CodeInternal means a fault of the entry.
	CodeInternal ErrorCode = "internal"
)

// Error is the body of each answer that reports an error.
type Error struct {
	Code    ErrorCode `json:"code"`
	Message string    `json:"message"`
	// Next says what the caller can do about it.
	Next      string          `json:"next,omitempty"`
	Findings  endive.Findings `json:"findings,omitempty"`
	Conflicts Conflicts       `json:"conflicts,omitempty"`
	// Outcome is set for a request to a service.
	Outcome endive.Outcome `json:"outcome,omitempty"`
	// RetryAfter says when to try again.
	RetryAfter endive.Interval `json:"retryAfter,omitempty"`
}

// Error formats e in a line, followed by a line for each finding and conflict.
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

// Status returns the HTTP status of e.
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
