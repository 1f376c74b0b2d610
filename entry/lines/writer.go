// Package lines writes log lines without blocking the logging goroutine.
package lines

import (
	"bytes"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// maxPending is the maximum size of the lines waiting to be written, in bytes.
	maxPending = 1 << 20
	// maxWrite is the maximum size of one write. A pipe takes writes of up to 4 KiB
	// atomically, so its reader gets no partial lines.
	maxWrite = 4 << 10
	// flushInterval is the time between two flushes. It lets one write carry many lines.
	flushInterval = 50 * time.Millisecond
)

// Writer buffers log lines and writes them out in the background. It drops lines that
// exceed the buffer, and writes a line with their number. It is safe for concurrent use.
type Writer struct {
	out               io.Writer
	mu                sync.Mutex
	pending           bytes.Buffer
	droppedSinceFlush int
	droppedTotal      atomic.Int64
	stop              chan struct{}
	done              chan struct{}
	stopOnce          sync.Once
}

// New returns a Writer that writes to out once Start has been called.
func New(out io.Writer) *Writer {
	return &Writer{out: out, stop: make(chan struct{}), done: make(chan struct{})}
}

// Write buffers a line. It implements io.Writer, never blocks on the output and never
// fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.pending.Len()+len(line) > maxPending {
		w.droppedSinceFlush++
		w.droppedTotal.Add(1)
		return len(line), nil
	}
	return w.pending.Write(line)
}

// Dropped returns the number of lines dropped so far.
func (w *Writer) Dropped() int64 { return w.droppedTotal.Load() }

// Start starts the background goroutine that writes the lines.
func (w *Writer) Start() { go w.run() }

func (w *Writer) run() {
	defer close(w.done)
	ticker := time.NewTicker(flushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-w.stop:
			w.flush()
			return
		case <-ticker.C:
			w.flush()
		}
	}
}

// flush writes all pending lines.
func (w *Writer) flush() {
	w.mu.Lock()
	lines := bytes.Clone(w.pending.Bytes())
	w.pending.Reset()
	dropped := w.droppedSinceFlush
	w.droppedSinceFlush = 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "{\"@level\":\"warn\",\"@message\":\"log lines were dropped\",\"lines\":%d}\n", dropped)
	}
	if len(lines) == 0 {
		return
	}
	for len(lines) > 0 {
		part := lines[:wholeLinesLen(lines)]
		lines = lines[len(part):]
		// Log output is the only place to report errors, so a failed write is ignored.
		_, _ = w.out.Write(part)
	}
}

// wholeLinesLen returns the length of the lines that fit into one write, or of the first
// line if that alone is longer.
func wholeLinesLen(lines []byte) int {
	if len(lines) <= maxWrite {
		return len(lines)
	}
	if end := bytes.LastIndexByte(lines[:maxWrite], '\n'); end >= 0 {
		return end + 1
	}
	if end := bytes.IndexByte(lines, '\n'); end >= 0 {
		return end + 1
	}
	return len(lines)
}

// Close writes the pending lines and stops the Writer. It returns after closeTimeout if the
// output blocks.
func (w *Writer) Close() {
	w.stopOnce.Do(func() { close(w.stop) })
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}

// closeTimeout is how long Close waits for the last write.
const closeTimeout = 200 * time.Millisecond
