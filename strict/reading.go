package strict

import (
	"strings"

	"endiveroute.example/endive"
)

// Reading is what is wrong with an input, so far as it can be told without the
// rules of what it means.
type Reading struct {
	Findings endive.Findings
	// Broken says that nothing of the input could be read.
	Broken bool
}

// Broken returns the Reading of an input of which nothing could be read.
func Broken(place, format string, args ...any) Reading {
	r := Reading{Broken: true}
	r.Findings.Add(place, format, args...)
	return r
}

// With returns the findings of r followed by those of validating what could be
// read. Where reading found something wrong, validation has seen a zero value:
// its findings at that place, above or below it, are left out.
func (r Reading) With(validation endive.Findings) endive.Findings {
	merged := append(endive.Findings(nil), r.Findings...)
	for _, finding := range validation {
		if !r.covers(finding.Path) {
			merged = append(merged, finding)
		}
	}
	return merged
}

// covers reports whether a finding of r is at place, above or below it.
func (r Reading) covers(place string) bool {
	for _, f := range r.Findings {
		if within(f.Path, place) || within(place, f.Path) {
			return true
		}
	}
	return r.Broken
}

// within reports whether place is outer or below it.
func within(place, outer string) bool {
	rest, ok := strings.CutPrefix(place, outer)
	return ok && (rest == "" || rest[0] == '.' || rest[0] == '[')
}
