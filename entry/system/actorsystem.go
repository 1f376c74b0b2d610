// Package system runs the actors that own an entry's state machines.
package system

import (
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime/debug"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/hashicorp/go-hclog"
)

// ExitPanic is the exit status of the process after a panic in a state machine.
const ExitPanic = 70

// System is an actor system that exits the process if a state machine panics. After a
// partial step, the machine's state can't be trusted, whereas a new process starts from the
// platform's state.
type System struct {
	actors *actor.ActorSystem
	// root spawns actors under a guardian with the exit-on-panic strategy. A strategy in an
	// actor's own properties would apply to its children only.
	root *actor.RootContext
}

// New returns a System that logs panics only. After a panic it calls flushLog, which must write out
// all lines, before the process exits.
func New(log hclog.Logger, flushLog func()) *System {
	return newSystem(&panicHandler{log: log, flushLog: flushLog, stderr: os.Stderr, exit: os.Exit})
}

func newSystem(handler *panicHandler) *System {
	actors := actor.NewActorSystem(actor.WithLoggerFactory(newDiscardLogger))
	root := actor.NewRootContext(actors, nil).WithGuardian(actor.NewOneForOneStrategy(0, 0, handler.handlePanic))
	return &System{actors: actors, root: root}
}

// Spawn starts an actor.
func (s *System) Spawn(a actor.Actor) *actor.PID {
	return s.root.Spawn(actor.PropsFromProducer(func() actor.Actor { return a }))
}

// Send queues a message for an actor. It never blocks.
func (s *System) Send(to *actor.PID, message any) { s.root.Send(to, message) }

// Stop stops an actor after its current message.
func (s *System) Stop(pid *actor.PID) { s.root.Stop(pid) }

// Shutdown stops the actor system.
func (s *System) Shutdown() { s.actors.Shutdown() }

func newDiscardLogger(*actor.ActorSystem) *slog.Logger { return slog.New(slog.DiscardHandler) }

// panicHandler exits the process after a panic.
type panicHandler struct {
	log      hclog.Logger
	flushLog func()
	// stderr gets the reason and the stack, also if nobody reads the log.
	stderr io.Writer
	exit   func(status int)
}

func (e *panicHandler) handlePanic(reason any) actor.Directive {
	_, _ = fmt.Fprintf(e.stderr, "state machine panicked: %v\n%s", reason, debug.Stack())
	e.log.Error("state machine panicked; exiting the process", "reason", reason)
	e.flushLog()
	e.exit(ExitPanic)
	return actor.StopDirective
}
