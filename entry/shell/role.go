package shell

import (
	"time"

	"github.com/asynkron/protoactor-go/actor"
	"github.com/uber-go/tally/v4"

	"endiveroute.example/endive"
)

// role is an actor that owns one state machine.
type role struct {
	name      string
	machine   endive.Machine
	shell     *Shell
	pid       *actor.PID
	wakeTimer *time.Timer
	// after is called in the actor after each step of the machine. It may be nil.
	after func()

	steps    tally.Counter
	stepTime tally.Counter
}

// inspection is a message that makes the actor call a function between two
// steps. The function may read the machine's state.
type inspection struct {
	function func()
}

// spawn starts an actor that owns the machine.
func (s *Shell) spawn(name string, machine endive.Machine) *role {
	scope := s.scope.Tagged(map[string]string{"role": roleKind(name)})
	r := &role{
		name:     name,
		machine:  machine,
		shell:    s,
		steps:    scope.Counter("steps"),
		stepTime: scope.Counter("stepMicroseconds"),
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

// step passes one event to the machine and carries out the resulting actions.
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

// inspect queues a function that the actor calls between two steps of the
// machine.
func (r *role) inspect(function func()) { r.shell.system.Send(r.pid, inspection{function: function}) }

// wakeAt sets the time of the machine's next wake-up, in place of the previous
// one. It must be called in the actor.
func (r *role) wakeAt(at time.Time) {
	if r.wakeTimer != nil {
		r.wakeTimer.Stop()
	}
	r.wakeTimer = time.AfterFunc(at.Sub(r.shell.clock.Now()), r.wake)
}

func (r *role) wake() { r.send(endive.Wake{}) }
