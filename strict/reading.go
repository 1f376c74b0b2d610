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
func Malformed(place, format string, args ...any) Result {
	r := Result{Malformed: true}
	r.Findings.Add(place, format, args...)
	return r
}

// MergeValidation returns the findings of r followed by those of validating what could be
// read. Where reading found something wrong, validation has seen a zero value:
// its findings at that place, above or below it, are left out.
func (r Result) MergeValidation(validation endive.Findings) endive.Findings {
	merged := append(endive.Findings(nil), r.Findings...)
	for _, finding := range validation {
		if !r.covers(finding.Place) {
			merged = append(merged, finding)
		}
	}
	return merged
}

// covers reports whether a finding of r is at place, above or below it.
func (r Result) covers(place string) bool {
	for _, f := range r.Findings {
		if within(f.Place, place) || within(place, f.Place) {
			return true
		}
	}
	return r.Malformed
}

// within reports whether place is outer or below it.
func within(place, outer string) bool {
	rest, ok := strings.CutPrefix(place, outer)
	return ok && (rest == "" || rest[0] == '.' || rest[0] == '[')
}
