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

// defaultRetryAfter is when to try again where nothing better is known.
const defaultRetryAfter = endive.Interval(1 * time.Second)

// newError returns the shape of an error that a Backend or a check has returned
// for a call with the given method.
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
		return &apiv1.Error{Code: apiv1.CodeInvalid, Message: "the input is wrong; nothing was changed", Findings: findings, Next: "Correct each finding and send it again."}
	case errors.As(err, &conflicts):
		return &apiv1.Error{Code: apiv1.CodeConflict, Message: "a later ticket has changed this; nothing was written", Conflicts: conflicts,
			Next: "Look at the configuration in force, and send a ticket with a higher number and the whole new state."}
	case endive.ErrConflict.Has(err):
		return &apiv1.Error{Code: apiv1.CodeConflict, Message: trimClass(endive.ErrConflict, err), Next: "Use another number or key for something else."}
	case endive.ErrInvalid.Has(err):
		return &apiv1.Error{Code: apiv1.CodeInvalid, Message: err.Error()}
	case endive.ErrNotFound.Has(err):
		return &apiv1.Error{Code: apiv1.CodeNotFound, Message: trimClass(endive.ErrNotFound, err), Next: "Check the name."}
	case method == http.MethodGet && (ctxEnded || endive.ErrUnknown.Has(err)):
		return &apiv1.Error{Code: apiv1.CodeUnavailable, Message: "the entry couldn't find out in time", Next: "Try again later, or ask another entry.", RetryAfter: defaultRetryAfter}
	case endive.ErrUnavailable.Has(err):
		return &apiv1.Error{Code: apiv1.CodeUnavailable, Message: trimClass(endive.ErrUnavailable, err), Next: "Nothing was done. Try again later.", RetryAfter: defaultRetryAfter}
	case endive.ErrUnknown.Has(err), ctxEnded:
		return &apiv1.Error{Code: apiv1.CodeUnknown, Message: "the entry couldn't find out in time whether it was done", RetryAfter: defaultRetryAfter,
			Next: "It may have been done. Send the same again: the number or key makes it the same ticket, job or request."}
	}
	return &apiv1.Error{Code: apiv1.CodeInternal, Message: "the entry has a fault", Next: "Look for \"call failed\" in the log of the entry."}
}

// trimClass returns an error's text trimClass the name of its class, which the code
// tells.
func trimClass(class errs.Class, err error) string {
	return strings.TrimPrefix(err.Error(), string(class)+": ")
}

// writeError answers with an error.
func writeError(w http.ResponseWriter, failed *apiv1.Error) {
	writeErrorStatus(w, failed, failed.Status())
}

// writeErrorStatus answers with an error under another status than its own.
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
