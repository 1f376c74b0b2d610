package system

import (
	"bytes"
	"testing"
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/hashicorp/go-hclog"
	"github.com/matryer/is"
)

// timeout is how long the test waits for the exit.
const timeout = 10 * time.Second

// panickingActor panics when it receives "panic".
type panickingActor struct{}

func (panickingActor) Receive(c actor.Context) {
	if c.Message() == "panic" {
		panic("half-way")
	}
}

// A panic in an actor must exit the process. The log that is written out must contain the reason,
// and the standard error the stack too, since it doesn't depend on who reads the log.
func TestPanicExitsProcess(t *testing.T) {
	is := is.New(t)
	var logged, stderr bytes.Buffer
	exitStatus := make(chan int, 1)
	log := hclog.New(&hclog.LoggerOptions{Output: &logged, JSONFormat: true})
	// The log is buffered, as that of the entry program is.
	var written bytes.Buffer
	flush := func() { written.Write(logged.Bytes()) }
	handler := &panicHandler{log: log, flushLog: flush, stderr: &stderr, exit: func(status int) { exitStatus <- status }}
	s := newSystem(handler)
	s.Send(s.Spawn(panickingActor{}), "panic")
	select {
	case status := <-exitStatus:
		is.Equal(status, ExitPanic)
	case <-time.After(timeout):
		t.Fatal("process did not exit")
	}
	is.True(bytes.Contains(written.Bytes(), []byte("half-way")))
	is.True(bytes.Contains(stderr.Bytes(), []byte("half-way")))
	is.True(bytes.Contains(stderr.Bytes(), []byte("panickingActor.Receive")))
	s.Shutdown()
}
