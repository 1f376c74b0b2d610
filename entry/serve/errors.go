package serve

import (
	"context"
	"errors"
	"math"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/zeebo/errs"

	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
)

// defaultRetryAfter is the Retry-After time of errors that set no time of their
// own.
const defaultRetryAfter = endive.Interval(1 * time.Second)

// newError converts an error of a Backend or a validation to the API's type, for
// a call with the given HTTP method.
func newError(err error, method string) *apiv1.Error {
	var apiError *apiv1.Error
	var findings endive.Findings
	var conflicts apiv1.Conflicts
	ctxEnded := errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
	switch {
	case errors.As(err, &apiError):
		copied := *apiError
		return &copied
	case errors.As(err, &findings):
		return &apiv1.Error{Code: apiv1.CodeInvalid, Message: "the input is invalid; nothing was changed", Findings: findings, Next: "Correct each finding and send it again."}
	case errors.As(err, &conflicts):
		return &apiv1.Error{Code: apiv1.CodeConflict, Message: "a later ticket has changed this; nothing was written", Conflicts: conflicts,
			Next: "Read the configuration in force, and send a ticket with a higher number and the complete new state."}
	case endive.ErrConflict.Has(err):
		return &apiv1.Error{Code: apiv1.CodeConflict, Message: trimClass(endive.ErrConflict, err), Next: "Use a new number or key for different content."}
	case endive.ErrInvalid.Has(err):
		return &apiv1.Error{Code: apiv1.CodeInvalid, Message: err.Error()}
	case endive.ErrNotFound.Has(err):
		return &apiv1.Error{Code: apiv1.CodeNotFound, Message: trimClass(endive.ErrNotFound, err), Next: "Check the name."}
	case method == http.MethodGet && (ctxEnded || endive.ErrUnknown.Has(err)):
		return &apiv1.Error{Code: apiv1.CodeUnavailable, Message: "the entry could not read the state in time", Next: "Try again later, or send it to another entry.", RetryAfter: defaultRetryAfter}
	case endive.ErrUnavailable.Has(err):
		return &apiv1.Error{Code: apiv1.CodeUnavailable, Message: trimClass(endive.ErrUnavailable, err), Next: "Nothing was done. Try again later.", RetryAfter: defaultRetryAfter}
	case endive.ErrUnknown.Has(err), ctxEnded:
		return &apiv1.Error{Code: apiv1.CodeUnknown, Message: "the entry could not confirm in time whether it was done", RetryAfter: defaultRetryAfter,
			Next: "It may have been done. Send it again unchanged: the number or key identifies it as the same ticket, job or request."}
	}
	return &apiv1.Error{Code: apiv1.CodeInternal, Message: "internal error of the entry", Next: "Look for \"call failed\" in the log of the entry."}
}

// trimClass returns an error's text without the name of its class. The class is
// sent as the error's code.
func trimClass(class errs.Class, err error) string {
	return strings.TrimPrefix(err.Error(), string(class)+": ")
}

// writeError writes an error as the response, with the error's own status.
func writeError(w http.ResponseWriter, failed *apiv1.Error) {
	writeErrorStatus(w, failed, failed.Status())
}

// writeErrorStatus writes an error as the response, with the given status.
func writeErrorStatus(w http.ResponseWriter, failed *apiv1.Error, status int) {
	if failed.Outcome != "" {
		w.Header().Set(apiv1.HeaderOutcome, string(failed.Outcome))
	}
	if failed.RetryAfter > 0 {
		w.Header().Set(apiv1.HeaderRetryAfter, seconds(failed.RetryAfter))
	}
	writeJSON(w, status, failed)
}

// seconds formats an interval for the Retry-After header: whole seconds, rounded
// up.
func seconds(interval endive.Interval) string {
	return strconv.Itoa(int(math.Ceil(time.Duration(interval).Seconds())))
}
