package lines

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
)

// slowPipe is an output that takes nothing until it is opened.
type slowPipe struct {
	open chan struct{}

	mu  sync.Mutex
	got bytes.Buffer
	max int
}

func (p *slowPipe) Write(data []byte) (int, error) {
	<-p.open
	p.mu.Lock()
	defer p.mu.Unlock()
	p.max = max(p.max, len(data))
	return p.got.Write(data)
}

func (p *slowPipe) text() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.got.String()
}

// Nobody reads the log: whoever writes it goes on, and what finds no room is
// counted.
func TestWriterNeverBlocks(t *testing.T) {
	is := is.New(t)
	pipe := &slowPipe{open: make(chan struct{})}
	w := New(pipe)
	w.Start()
	line := []byte(strings.Repeat("x", 1023) + "\n")
	const lines = 3 * maxWaiting / 1024
	for range lines {
		n, err := w.Write(line)
		is.NoErr(err)
		is.Equal(n, len(line))
	}
	is.True(w.Dropped() >= lines/3)
	close(pipe.open)
	w.Close()
	is.True(strings.Contains(pipe.text(), "log lines were dropped"))
	is.True(pipe.max <= maxWrite)
}

func TestWriterKeepsLinesWhole(t *testing.T) {
	tests := []struct {
		name  string
		lines string
		want  int
	}{
		{"short", "ab\ncd\n", 6},
		{"many", strings.Repeat("0123456\n", maxWrite/8+1), maxWrite},
		{"a line that ends in between", strings.Repeat("0", maxWrite-2) + "\n" + "abc\n", maxWrite - 1},
		{"one long line", strings.Repeat("0", 2*maxWrite) + "\nx\n", 2*maxWrite + 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(wholeLines([]byte(tt.lines)), tt.want)
		})
	}
}
