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
	// StatusOK means that what was asked for is done.
	StatusOK Status = 0
	// StatusUsage means that the command line is wrong.
	StatusUsage Status = 1
	// StatusInvalid means that a file or another input is wrong; nothing was done.
	StatusInvalid Status = 2
	// StatusRefused means that it was not run, and never will be by itself.
	StatusRefused Status = 3
	// StatusUnknown means that it may have been done.
	StatusUnknown Status = 4
	// StatusUnreachable means that no entry could be connected to.
	StatusUnreachable Status = 5
	// StatusConflict means that another ticket, job or request was first.
	StatusConflict Status = 6
	// StatusPending means that it is recorded and not in force everywhere yet, or
	// that a request is still running.
	StatusPending Status = 7
	// StatusNotFound means that there is nothing under the name.
	StatusNotFound Status = 8
	// StatusFailed means that the service answered with an error of its own.
	StatusFailed Status = 9
	// StatusFault means a fault of the entry.
	StatusFault Status = 10
)

const statusHelp = `
Exit statuses:
  0  done
  1  the command line is wrong
  2  the input is wrong; nothing was done
  3  refused, not run
  4  unknown; it may have been done
  5  no entry could be connected to; nothing was done
  6  another ticket, job or request was first; nothing was done
  7  recorded, and not in force everywhere or not ended yet
  8  there is nothing under the name
  9  the service answered with an error of its own
  10 a fault of the entry
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

// statusOfCode returns the exit status for an error that an entry reported.
func statusOfCode(code apiv1.ErrorCode) Status {
	switch code {
	case apiv1.CodeInvalid, apiv1.CodeTooLarge, apiv1.CodeMethod:
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

// exitError ends the program with a status and a message.
type exitError struct {
	status  Status
	message string
	next    string
}

// Error returns the message.
func (e *exitError) Error() string { return e.message }
