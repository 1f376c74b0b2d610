package cmds

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"os"

	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
	"endiveroute.example/endive/client"
	"endiveroute.example/endive/files"
)

// failure is the JSON output for an error.
type failure struct {
	Status    Status          `json:"status"`
	Message   string          `json:"message"`
	Next      string          `json:"next,omitempty"`
	Findings  endive.Findings `json:"findings,omitempty"`
	Conflicts apiv1.Conflicts `json:"conflicts,omitempty"`
}

// newFailure returns the failure for an error, with a hint on what the user can do next.
func newFailure(err error) failure {
	f := failure{Status: statusOf(err), Message: err.Error()}
	var failed *apiv1.Error
	var ended *exitError
	var wrong *files.Error
	switch {
	case errors.As(err, &ended):
		f.Next = ended.next
	case errors.As(err, &failed):
		f.Message, f.Next = failed.Message, failed.Next
		f.Findings, f.Conflicts = failed.Findings, failed.Conflicts
		if failed.RetryAfter > 0 {
			f.Next += fmt.Sprintf(" Wait %s first.", failed.RetryAfter)
		}
	case errors.As(err, &wrong):
		f.Message, f.Findings = wrong.File+" is invalid; nothing was sent", wrong.Findings
		f.Next = "Correct each finding and run the command again."
	case client.ErrUnreachable.Has(err):
		f.Next = "Nothing was sent. Check --entry or ENDIVE_ENTRY, and that an entry runs there."
	case endive.ErrUnknown.Has(err):
		f.Next = "It may have been done. Run the same command again: with the same number or key, a ticket, job or request isn't applied twice."
	case errors.Is(err, os.ErrNotExist):
		f.Next = "Check the file's name."
	}
	return f
}

// reportError writes an error as text or as JSON, and returns the exit status
// for the error.
func reportError(w io.Writer, asJSON bool, err error) Status {
	f := newFailure(err)
	if asJSON {
		// The exit status reports the failure even if the write fails.
		_ = writeJSON(w, f)
		return f.Status
	}
	fmt.Fprintf(w, "endive: %s\n", f.Message)
	for _, finding := range f.Findings {
		fmt.Fprintf(w, "  %s\n", finding)
	}
	for _, conflict := range f.Conflicts {
		fmt.Fprintf(w, "  %s\n", conflict)
	}
	if f.Next != "" {
		fmt.Fprintf(w, "next: %s\n", f.Next)
	}
	return f.Status
}

// writeJSON writes value as indented JSON.
func writeJSON(w io.Writer, value any) error {
	encoder := json.NewEncoder(w)
	encoder.SetIndent("", "  ")
	return encoder.Encode(value)
}
