package strict

import (
	"strings"

	"endiveroute.example/endive"
)

// Result has the errors found while decoding an input, before the decoded
// values are validated.
type Result struct {
	Findings endive.Findings
	// Malformed is true if nothing could be decoded, such as after a syntax error.
	Malformed bool
}

// Malformed returns the Result for an input of which nothing could be decoded.
func Malformed(path, format string, args ...any) Result {
	r := Result{Malformed: true}
	r.Findings.Add(path, format, args...)
	return r
}

// MergeValidation returns the findings of the result followed by those of the
// validation of the decoded value. A field that could not be decoded was
// validated as a zero value, so validation findings at the path of such a
// field, or at a path above or below that path, are left out.
func (r Result) MergeValidation(validation endive.Findings) endive.Findings {
	merged := append(endive.Findings(nil), r.Findings...)
	for _, finding := range validation {
		if !r.hasFindingNear(finding.Path) {
			merged = append(merged, finding)
		}
	}
	return merged
}

// hasFindingNear reports whether the result has a finding at path, or at a path
// above or below path.
func (r Result) hasFindingNear(path string) bool {
	for _, f := range r.Findings {
		if isWithin(f.Path, path) || isWithin(path, f.Path) {
			return true
		}
	}
	return r.Malformed
}

// isWithin reports whether path equals outer or is below outer.
func isWithin(path, outer string) bool {
	rest, ok := strings.CutPrefix(path, outer)
	return ok && (rest == "" || rest[0] == '.' || rest[0] == '[')
}
