package endive

// ValidateRange adds a finding for the field at path unless its value is between lowest
// and highest, inclusive.
func ValidateRange(f *Findings, path string, n, lowest, highest int64) {
	if n < lowest || n > highest {
		f.Add(path, "is %d; it must be %d to %d", n, lowest, highest)
	}
}
