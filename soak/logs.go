package main

import (
	"os"
	"path/filepath"
	"strings"
)

// panicMessage is part of the log line of an entry whose state machine panicked.
const panicMessage = "state machine panicked"

// logFindings returns the log lines of the entries about panics, and all lines that aren't JSON: those
// are from an entry that couldn't start or from the Go runtime. Unlike entryProcess, they also show a
// panic in an entry that has got the signal to end.
func (s *soak) logFindings() []string {
	var found []string
	for _, e := range s.entries {
		data, err := os.ReadFile(filepath.Join(s.dir, e.name+".log"))
		if err != nil {
			found = append(found, "can't read the log of "+e.name+": "+err.Error())
		}
		for line := range strings.Lines(string(data)) {
			line = strings.TrimSpace(line)
			if strings.Contains(line, panicMessage) || line != "" && !strings.HasPrefix(line, "{") {
				found = append(found, "log of "+e.name+": "+line)
			}
		}
	}
	return found
}
