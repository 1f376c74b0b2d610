package endive

import (
	"fmt"
	"strings"
)

// Finding is one thing wrong with an input.
type Finding struct {
	// Path is the path of the field, such as "services[2].slots".
	Path string `json:"place"`
	// Reason says what is wrong and what would be right.
	Reason string `json:"reason"`
}

// String formats f as "place: reason".
func (f Finding) String() string { return f.Path + ": " + f.Reason }

// Findings collects everything wrong with an input, so that it is reported
// together. The zero value is ready to use.
type Findings []Finding

// Add records that something is wrong at place.
func (f *Findings) Add(place, format string, args ...any) {
	*f = append(*f, Finding{Path: place, Reason: fmt.Sprintf(format, args...)})
}

// Err returns the findings as an error, or nil where there are none.
func (f Findings) Err() error {
	if len(f) == 0 {
		return nil
	}
	return f
}

// Error lists the findings, a line each.
func (f Findings) Error() string {
	lines := make([]string, 0, len(f))
	for _, one := range f {
		lines = append(lines, one.String())
	}
	return strings.Join(lines, "\n")
}
