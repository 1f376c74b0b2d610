package endive

import "regexp"

// MaxNameLength is the maximum length of a configured name, in bytes.
const MaxNameLength = 63

var namePattern = regexp.MustCompile(`^[a-z0-9]([a-z0-9.-]*[a-z0-9])?$`)

// ValidateName adds a finding for the field at path unless the name is valid: lower-case
// letters, digits, dots and dashes, with a letter or digit at both ends.
func ValidateName(f *Findings, path, name string) {
	switch {
	case name == "":
		f.Add(path, "is missing")
	case len(name) > MaxNameLength:
		f.Add(path, "is %d bytes long; at most %d are allowed", len(name), MaxNameLength)
	case !namePattern.MatchString(name):
		f.Add(path, "%q must be lower-case letters, digits, dots and dashes, with a letter or digit at both ends", name)
	}
}
