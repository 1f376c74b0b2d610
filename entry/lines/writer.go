// Package lines writes log lines without ever blocking who logs.
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
	// maxWaiting bounds the bytes that wait to be written.
	maxWaiting = 1 << 20
	// maxWrite bounds one write, so that a line isn't torn by a reader that takes
	// so much at a time: a pipe takes 4 KiB as a whole.
	maxWrite = 4 << 10
	// flushPause gathers lines, so that many are written by one call.
	flushPause = 50 * time.Millisecond
)

// Writer takes log lines and writes them out later. What finds no room is dropped
// and counted; a line tells how many. It is safe for concurrent use.
type Writer struct {
	out     io.Writer
	mu      sync.Mutex
	waiting bytes.Buffer
	dropped int
	total   atomic.Int64
	quit    chan struct{}
	ended   chan struct{}
	once    sync.Once
}

// New returns a Writer to out, which is written to once Start is called.
func New(out io.Writer) *Writer {
	return &Writer{out: out, quit: make(chan struct{}), ended: make(chan struct{})}
}

// Write implements io.Writer. It never blocks on out, and never fails.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.waiting.Len()+len(line) > maxWaiting {
		w.dropped++
		w.total.Add(1)
		return len(line), nil
	}
	return w.waiting.Write(line)
}

// Dropped returns how many lines have been dropped so far.
func (w *Writer) Dropped() int64 { return w.total.Load() }

// Start begins to write.
func (w *Writer) Start() { go w.run() }

func (w *Writer) run() {
	defer close(w.ended)
	ticker := time.NewTicker(flushPause)
	defer ticker.Stop()
	for {
		select {
		case <-w.quit:
			w.flush()
			return
		case <-ticker.C:
			w.flush()
		}
	}
}

// flush writes what waits.
func (w *Writer) flush() {
	w.mu.Lock()
	lines := bytes.Clone(w.waiting.Bytes())
	w.waiting.Reset()
	dropped := w.dropped
	w.dropped = 0
	w.mu.Unlock()
	if dropped > 0 {
		lines = fmt.Appendf(lines, "{\"@level\":\"warn\",\"@message\":\"log lines were dropped\",\"lines\":%d}\n", dropped)
	}
	if len(lines) == 0 {
		return
	}
	for len(lines) > 0 {
		part := lines[:wholeLines(lines)]
		lines = lines[len(part):]
		// A failed write has nowhere else to be told.
		_, _ = w.out.Write(part)
	}
}

// wholeLines returns the length of the lines that fit into one write, at least of
// the first.
func wholeLines(lines []byte) int {
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

// Close writes what waits and ends, or gives up after a while if nobody reads.
func (w *Writer) Close() {
	w.once.Do(func() { close(w.quit) })
	select {
	case <-w.ended:
	case <-time.After(closeTime):
	}
}

// closeTime bounds the last write.
const closeTime = 200 * time.Millisecond
