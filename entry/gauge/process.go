package gauge

import (
	"fmt"
	"os"
	"strings"
	"syscall"
)

// Names of the metrics about the process itself.
const (
	processTimeName   = "processMicroseconds"
	processMemoryName = "processMemoryBytes"
)

// writeProcess writes the processor time that the process has used and its resident memory.
// It leaves out a value that the system doesn't provide.
func writeProcess(page *strings.Builder) {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err == nil {
		fmt.Fprintf(page, "%s %d\n", processTimeName, microseconds(usage.Utime)+microseconds(usage.Stime))
	}
	var size, resident int
	statm, err := os.ReadFile("/proc/self/statm")
	if err != nil {
		return
	}
	if _, err := fmt.Sscan(string(statm), &size, &resident); err == nil {
		fmt.Fprintf(page, "%s %d\n", processMemoryName, resident*os.Getpagesize())
	}
}

// microseconds converts a time of the operating system to microseconds.
func microseconds(t syscall.Timeval) int64 {
	const second = 1_000_000
	return int64(t.Sec)*second + int64(t.Usec)
}
