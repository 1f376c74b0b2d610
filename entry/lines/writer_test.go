package lines

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// blockedPipe is an output that blocks until opened is closed.
type blockedPipe struct {
	opened chan struct{}

	mu           sync.Mutex
	written      bytes.Buffer
	longestWrite int
}

func (p *blockedPipe) Write(data []byte) (int, error) {
	<-p.opened
	p.mu.Lock()
	defer p.mu.Unlock()
	p.longestWrite = max(p.longestWrite, len(data))
	return p.written.Write(data)
}

func (p *blockedPipe) contents() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.written.String()
}

// If the log output blocks, Write must not block, and the dropped lines must be counted.
func TestWriterNeverBlocks(t *testing.T) {
	is := is.New(t)
	pipe := &blockedPipe{opened: make(chan struct{})}
	w := New(pipe)
	w.Start()
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 3 * maxPending / 1024
	for range lines {
		n, err := w.Write(line)
		is.NoErr(err)
		is.Equal(n, len(line))
	}
	is.True(w.Dropped() >= lines/3)
	close(pipe.opened)
	w.Close()
	<-w.done // Close returns earlier if the output is slower than closeTimeout.
	is.True(strings.Contains(pipe.contents(), "log lines were dropped"))
	is.True(pipe.longestWrite <= maxWrite)
}

func TestWholeLinesLen(t *testing.T) {
	tests := []struct {
		name  string
		lines string
		want  int
	}{
		{"short", "ab\ncd\n", 6},
		{"many", strings.Repeat("0123456\n", maxWrite/8+1), maxWrite},
		{"line end before the limit", strings.Repeat("0", maxWrite-2) + "\n" + "abc\n", maxWrite - 1},
		{"one long line", strings.Repeat("0", 2*maxWrite) + "\nx\n", 2*maxWrite + 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(wholeLinesLen([]byte(tt.lines)), tt.want)
		})
	}
}
