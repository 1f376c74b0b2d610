package shell

import (
	"context"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/member"
	"endiveroute.example/endive/place"
)

// commandCall sends one command to a worker.
type commandCall struct {
	shell   *Shell
	role    *role
	command place.Command
}

func (c *commandCall) run() {
	// The deadline was set when the command was decided: this process may have
	// been paused since, so a timeout from now alone could end too late.
	bounded, cancel := context.WithDeadline(context.Background(), c.command.Deadline)
	defer cancel()
	ctx, cancel := context.WithTimeout(bounded, time.Duration(c.shell.settings.Timings.WorkerTimeout))
	defer cancel()
	report, err := c.shell.workers.Send(ctx, c.command.Address, c.command.Command)
	if report.Leaving {
		c.shell.member.send(member.EndpointLeaving{Endpoint: string(c.command.Worker)})
	}
	c.role.send(place.CommandResult{
		Worker:      c.command.Worker,
		Epoch:       c.command.Command.Epoch,
		Sequence:    c.command.Command.Sequence,
		Unavailable: endive.ErrUnavailable.Has(err),
		Unknown:     err != nil && !endive.ErrUnavailable.Has(err),
		Report:      report,
	})
}
