// Package system makes the actors that own an entry's machines.
package system

import (
	"log/slog"
	"os"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/hashicorp/go-hclog"
)

// ExitPanic is the exit status after a panic in a machine.
const ExitPanic = 70

// System is a system of actors whose machines end the process when they panic. One whose
// step failed half-way can't be trusted with what it holds; a new process starts from
// the platform's state.
type System struct {
	actors *actor.ActorSystem
	// root spawns actors under a guardian: the strategy in an actor's own properties
	// is for its children.
	root *actor.RootContext
}

// New returns a system that logs nothing but a panic.
func New(log hclog.Logger) *System { return newSystem(&ending{log: log, exit: os.Exit}) }

func newSystem(end *ending) *System {
	actors := actor.NewActorSystem(actor.WithLoggerFactory(silent))
	root := actor.NewRootContext(actors, nil).WithGuardian(actor.NewOneForOneStrategy(0, 0, end.decide))
	return &System{actors: actors, root: root}
}

// Spawn starts an actor.
func (s *System) Spawn(a actor.Actor) *actor.PID {
	return s.root.Spawn(actor.PropsFromProducer(func() actor.Actor { return a }))
}

// Send queues a message for an actor. It never blocks.
func (s *System) Send(to *actor.PID, message any) { s.root.Send(to, message) }

// Stop stops an actor after the message that it is at.
func (s *System) Stop(pid *actor.PID) { s.root.Stop(pid) }

// Shutdown ends the system.
func (s *System) Shutdown() { s.actors.Shutdown() }

func silent(*actor.ActorSystem) *slog.Logger { return slog.New(slog.DiscardHandler) }

// ending ends the process.
type ending struct {
	log  hclog.Logger
	exit func(status int)
}

func (e *ending) decide(reason any) actor.Directive {
	e.log.Error("a machine panicked; the process ends", "reason", reason)
	e.exit(ExitPanic)
	return actor.StopDirective
}
