package strict

import (
	"strings"

	"endiveroute.example/endive"
)

// Result is what is wrong with an input, so far as it can be told without the
// rules of what it means.
type Result struct {
	Findings endive.Findings
	// Malformed says that nothing of the input could be read.
	Malformed bool
}

// Malformed returns the Reading of an input of which nothing could be read.
func Malformed(path, format string, args ...any) Result {
	r := Result{Malformed: true}
	r.Findings.Add(path, format, args...)
	return r
}

// MergeValidation returns the findings of r followed by those of validating what could be
// read. Where reading found something wrong, validation has seen a zero value:
// its findings at that place, above or below it, are left out.
func (r Result) MergeValidation(validation endive.Findings) endive.Findings {
	merged := append(endive.Findings(nil), r.Findings...)
	for _, finding := range validation {
		if !r.hasFindingNear(finding.Place) {
			merged = append(merged, finding)
		}
	}
	return merged
}

// hasFindingNear reports whether a finding of r is at place, above or below it.
func (r Result) hasFindingNear(path string) bool {
	for _, f := range r.Findings {
		if isWithin(f.Place, path) || isWithin(path, f.Place) {
			return true
		}
	}
	return r.Malformed
}

// isWithin reports whether place is outer or below it.
func isWithin(path, outer string) bool {
	rest, ok := strings.CutPrefix(path, outer)
	return ok && (rest == "" || rest[0] == '.' || rest[0] == '[')
}
