package main

import (
	"fmt"
	"io"
	"sync"
	"time"
)

// events is the log of the runs and faults of one soak, to be read beside the logs of the entries.
type events struct {
	mu  sync.Mutex
	log io.Writer
}

// add adds one line with its time.
func (e *events) add(format string, args ...any) {
	e.mu.Lock()
	defer e.mu.Unlock()
	// A line that can't be written is missing from the log, and no check depends on it.
	_, _ = fmt.Fprintf(e.log, time.Now().UTC().Format("2006-01-02T15:04:05.000Z ")+format+"\n", args...)
}
