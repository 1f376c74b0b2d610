package files

import (
	"strings"

	"endiveroute.example/endive"
)

// Error has all findings about the contents of one file.
type Error struct {
	File     string
	Findings endive.Findings
}

// Error returns the findings, one per line, each with the file's name as a prefix.
func (e *Error) Error() string {
	lines := make([]string, 0, len(e.Findings))
	for _, f := range e.Findings {
		lines = append(lines, e.File+": "+f.String())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the findings.
func (e *Error) Unwrap() error { return e.Findings }
