package system

import (
	"bytes"
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// patience bounds the wait for what comes at once.
const patience = 10 * time.Second

// fragile panics on its first message.
type fragile struct{}

func (fragile) Receive(c actor.Context) {
	if c.Message() == "panic" {
		panic("half-way")
	}
}

// A machine that panics ends the process, and the log says why.
func TestPanicEndsTheProcess(t *testing.T) {
	is := is.New(t)
	var logged bytes.Buffer
	ended := make(chan int, 1)
	log := hclog.New(&hclog.LoggerOptions{Output: &logged, JSONFormat: true})
	end := &ending{log: log, exit: func(status int) { ended <- status }}
	s := newSystem(end)
	s.Send(s.Spawn(fragile{}), "panic")
	select {
	case status := <-ended:
		is.Equal(status, ExitPanic)
	case <-time.After(patience):
		t.Fatal("the process goes on")
	}
	is.True(bytes.Contains(logged.Bytes(), []byte("half-way")))
	s.Shutdown()
}
