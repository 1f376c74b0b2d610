package endive

import "github.com/zeebo/errs"

// Classes of errors that calling code distinguishes.
var (
	// ErrUnavailable means that a platform service didn't respond, or responded that
	// it is unavailable. The operation was not performed.
	ErrUnavailable = errs.Class("unavailable")
	// ErrUnknown means that the operation may or may not have been performed.
	ErrUnknown = errs.Class("unknown")
	// ErrRejected means that a platform service rejected the operation itself, for example
	// because a row is too large. It was not performed, and would be rejected again.
	ErrRejected = errs.Class("rejected")
	// ErrConflict means that a transaction wrote nothing because a condition
	// failed.
	ErrConflict = errs.Class("conflict")
	// ErrHistoryLost means that the changes since the requested revision are no
	// longer available.
	ErrHistoryLost = errs.Class("history lost")
	// ErrNotFound means that nothing exists under the given name.
	ErrNotFound = errs.Class("not found")
	// ErrInvalid means that the input is invalid. The error wraps Findings.
	ErrInvalid = errs.Class("invalid")
)
