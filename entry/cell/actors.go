package cell

import (
	"io"
	"log/slog"
	"os"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/hashicorp/go-hclog"
)

// newActorSystem returns a system of actors that logs nothing by itself.
func newActorSystem() *actor.ActorSystem {
	return actor.NewActorSystem(actor.WithLoggerFactory(func(*actor.ActorSystem) *slog.Logger {
		return slog.New(slog.NewTextHandler(io.Discard, nil))
	}))
}

// exitPanic is the exit status after a panic in a machine.
const exitPanic = 3

// panicEnds ends the process when a machine panics: what it holds can't be trusted
// any more, and a restart needs nothing but the settings and the store.
type panicEnds struct{ log hclog.Logger }

// HandleFailure implements actor.SupervisorStrategy.
func (p panicEnds) HandleFailure(_ *actor.ActorSystem, _ actor.Supervisor, child *actor.PID, _ *actor.RestartStatistics, reason any, _ any) {
	p.log.Error("a machine failed, the process ends", "actor", child.GetId(), "reason", reason)
	os.Exit(exitPanic)
}
