package endive

import "github.com/zeebo/errs"

// Classes of errors that callers tell apart.
var (
	// ErrUnavailable means that a platform service gave no answer, or said that
	// it can't now. What was asked was not done.
	ErrUnavailable = errs.Class("unavailable")
	// ErrUnknown means that it can't be told whether what was asked was done.
	ErrUnknown = errs.Class("unknown")
	// ErrConflict means that a transaction's condition didn't hold. Nothing was
	// written.
	ErrConflict = errs.Class("conflict")
	// ErrHistoryLost means that the changes since a revision are forgotten.
	ErrHistoryLost = errs.Class("history lost")
	// ErrNotFound means that there is nothing under the given name.
	ErrNotFound = errs.Class("not found")
	// ErrInvalid means that the input is wrong. The error wraps Findings.
	ErrInvalid = errs.Class("invalid")
)
