package cmds

import (
	"errors"

	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
	"endiveroute.example/endive/client"
)

// Status is the exit status of the program.
type Status int

// The exit statuses. The program's help and docs/API.md list them.
const (
	// StatusOK means that the command succeeded.
	StatusOK Status = 0
	// StatusUsage means that the command line is invalid.
	StatusUsage Status = 1
	// StatusInvalid means that a file or another input is invalid; nothing was done.
	StatusInvalid Status = 2
	// StatusRefused means that the entry refused the request, and that the request was
	// not and will not be run unless it is sent again.
	StatusRefused Status = 3
	// StatusUnknown means that the request may have been carried out.
	StatusUnknown Status = 4
	// StatusUnreachable means that no entry could be connected to.
	StatusUnreachable Status = 5
	// StatusConflict means that the command conflicts with an earlier ticket, job or
	// request.
	StatusConflict Status = 6
	// StatusPending means that a ticket is written but not in force on all entries yet,
	// or that a request is still running.
	StatusPending Status = 7
	// StatusNotFound means that nothing has the given name, id or key.
	StatusNotFound Status = 8
	// StatusFailed means that the service answered with an error of its own.
	StatusFailed Status = 9
	// StatusFault means that the entry had an internal error.
	StatusFault Status = 10
)

const statusHelp = `
Exit statuses:
  0  done
  1  the command line is invalid
  2  the input is invalid; nothing was done
  3  refused, not run
  4  unknown; it may have been done
  5  no entry could be connected to; nothing was done
  6  conflict with an earlier ticket, job or request; nothing was done
  7  recorded, but not in force on all entries or not ended yet
  8  nothing has this name, id or key
  9  the service answered with an error of its own
  10 internal error of the entry
`

// statusOf returns the exit status for an error.
func statusOf(err error) Status {
	var failed *apiv1.Error
	var ended *exitError
	switch {
	case err == nil:
		return StatusOK
	case errors.As(err, &ended):
		return ended.status
	case errors.As(err, &failed):
		return statusOfCode(failed.Code)
	case client.ErrUnreachable.Has(err):
		return StatusUnreachable
	case endive.ErrInvalid.Has(err):
		return StatusInvalid
	case endive.ErrUnknown.Has(err):
		return StatusUnknown
	}
	return StatusInvalid
}

// statusOfCode returns the exit status for the code of an error from an entry.
func statusOfCode(code apiv1.ErrorCode) Status {
	switch code {
	case apiv1.CodeInvalid, apiv1.CodeTooLarge, apiv1.CodeMethodNotAllowed:
		return StatusInvalid
	case apiv1.CodeRefused, apiv1.CodeBusy, apiv1.CodeUnavailable:
		return StatusRefused
	case apiv1.CodeUnknown:
		return StatusUnknown
	case apiv1.CodeConflict:
		return StatusConflict
	case apiv1.CodeNotFound:
		return StatusNotFound
	}
	return StatusFault
}

// exitError is an error with the program's exit status and a hint on what to do next.
type exitError struct {
	status  Status
	message string
	next    string
}

// Error returns the message.
func (e *exitError) Error() string { return e.message }
