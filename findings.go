package endive

import (
	"fmt"
	"strings"
)

// Finding is one validation error of an input.
type Finding struct {
	// Path locates the invalid field, such as "services[2].slots".
	Path string `json:"place"`
	// Reason describes the error and the valid values.
	Reason string `json:"reason"`
}

// String formats the finding as "path: reason".
func (f Finding) String() string { return f.Path + ": " + f.Reason }

// Findings collects all validation errors of an input, so that they can be reported
// together. The zero value is ready to use.
type Findings []Finding

// Add appends a validation error for the field at path.
func (f *Findings) Add(path, format string, args ...any) {
	*f = append(*f, Finding{Path: path, Reason: fmt.Sprintf(format, args...)})
}

// Err returns the findings as an error, or nil if there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Error formats the findings, one per line.
func (f Findings) Error() string {
	lines := make([]string, 0, len(f))
	for _, finding := range f {
		lines = append(lines, finding.String())
	}
	return strings.Join(lines, "\n")
}
