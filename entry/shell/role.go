package shell

import (
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/uber-go/tally/v4"

	"endiveroute.example/endive"
)

// role is the actor that owns one machine.
type role struct {
	name    string
	machine endive.Machine
	shell   *Shell
	pid     *actor.PID
	alarm   *time.Timer
	// after is called in the actor after each step; it may be nil.
	after func()

	steps tally.Counter
	spent tally.Counter
}

// inspect asks the actor to call a function between two steps, so that it can
// look at the machine.
type inspect struct {
	look func()
}

// spawn starts the actor of a machine.
func (s *Shell) spawn(name string, machine endive.Machine) *role {
	scope := s.scope.Tagged(map[string]string{"role": roleKind(name)})
	r := &role{
		name:    name,
		machine: machine,
		shell:   s,
		steps:   scope.Counter("steps"),
		spent:   scope.Counter("stepMicroseconds"),
	}
	r.pid = s.system.Spawn(r)
	return r
}

// Receive implements actor.Actor.
func (r *role) Receive(c actor.Context) {
	switch message := c.Message().(type) {
	case inspect:
		message.look()
	case endive.Event:
		r.step(message)
	}
}

// step feeds one event to the machine and carries out its actions.
func (r *role) step(event endive.Event) {
	start := time.Now()
	actions := r.machine.Step(r.shell.clock.Now(), event)
	r.steps.Inc(1)
	r.spent.Inc(time.Since(start).Microseconds())
	for _, action := range actions {
		r.shell.perform(r, action)
	}
	if r.after != nil {
		r.after()
	}
}

// tell queues an event for the machine. It never blocks.
func (r *role) tell(event endive.Event) { r.shell.system.Send(r.pid, event) }

// ask queues a look at the machine.
func (r *role) ask(look func()) { r.shell.system.Send(r.pid, inspect{look: look}) }

// wakeAt replaces the wake-up of the machine. It is called in the actor only.
func (r *role) wakeAt(at time.Time) {
	if r.alarm != nil {
		r.alarm.Stop()
	}
	r.alarm = time.AfterFunc(at.Sub(r.shell.clock.Now()), r.wake)
}

func (r *role) wake() { r.tell(endive.Wake{}) }
