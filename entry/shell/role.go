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
	wakeTimer   *time.Timer
	// after is called in the actor after each step; it may be nil.
	after func()

	steps tally.Counter
	stepTime tally.Counter
}

// inspection asks the actor to call a function between two steps, so that it can
// look at the machine.
type inspection struct {
	function func()
}

// spawn starts the actor of a machine.
func (s *Shell) spawn(name string, machine endive.Machine) *role {
	scope := s.scope.Tagged(map[string]string{"role": roleKind(name)})
	r := &role{
		name:    name,
		machine: machine,
		shell:   s,
		steps:   scope.Counter("steps"),
		stepTime:   scope.Counter("stepMicroseconds"),
	}
	r.pid = s.system.Spawn(r)
	return r
}

// Receive implements actor.Actor.
func (r *role) Receive(c actor.Context) {
	switch message := c.Message().(type) {
	case inspection:
		message.function()
	case endive.Event:
		r.step(message)
	}
}

// step feeds one event to the machine and carries out its actions.
func (r *role) step(event endive.Event) {
	start := time.Now()
	actions := r.machine.Step(r.shell.clock.Now(), event)
	r.steps.Inc(1)
	r.stepTime.Inc(time.Since(start).Microseconds())
	for _, action := range actions {
		r.shell.perform(r, action)
	}
	if r.after != nil {
		r.after()
	}
}

// send queues an event for the machine. It never blocks.
func (r *role) send(event endive.Event) { r.shell.system.Send(r.pid, event) }

// inspect queues a look at the machine.
func (r *role) inspect(function func()) { r.shell.system.Send(r.pid, inspection{function: function}) }

// wakeAt replaces the wake-up of the machine. It is called in the actor only.
func (r *role) wakeAt(at time.Time) {
	if r.wakeTimer != nil {
		r.wakeTimer.Stop()
	}
	r.wakeTimer = time.AfterFunc(at.Sub(r.shell.clock.Now()), r.wake)
}

func (r *role) wake() { r.send(endive.Wake{}) }
