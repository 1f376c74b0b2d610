package cmds

import (
	"context"
	"fmt"
	"time"

	"endiveroute.example/endive/apiv1"
	"endiveroute.example/endive/files"
)

// ticketPollInterval is the interval between queries of a pending ticket's status.
const ticketPollInterval = 250 * time.Millisecond

const ticketApplyHelp = `
Reads a ticket from a TOML or JSON file, checks it, sends it, and waits until it is
in force on every live entry. A ticket contains the complete new state of every
resource that it changes: services, pools, teams and drains.

The number must be higher than those of the tickets that last set these resources;
otherwise nothing is written, and the conflicting tickets are listed. The command
can be run again with the same file: a ticket is applied only once.

If the timeout expires first, the ticket stays written and still comes into force;
the exit status is 7, and the entries that haven't confirmed it are listed.

Examples:

  endive ticket apply 0017.toml
  endive ticket apply 0017.json --timeout 60s --json

A ticket file:

  number = 17
  comment = "the quoting desk, and the workers that cut"

  [[services]]
  name = "quote"
  slots = 8
  connections = 64
  timeout = "2s"

  [[pools]]
  name = "planner"
  preemption = true

  [[teams]]
  name = "cutters"
  quota = { processors = 64000, memory = 274877906944, accelerators = 8 }

  [[drains]]
  instance = "worker-7"
`

// ticketApply is the command that sends a ticket and waits until it is in force.
type ticketApply struct {
	file string
}

// run implements command.
func (c *ticketApply) run(ctx context.Context, s *session) error {
	ticket, err := files.LoadTicket(c.file)
	if err != nil {
		return err
	}
	status, err := s.client.Apply(ctx, ticket, s.deadline)
	if err != nil {
		return err
	}
	if status, err = c.waitUntilInForce(ctx, s, status); err != nil {
		return err
	}
	if status.State == apiv1.TicketInForce {
		return s.printResult(status, "ticket %d is in force on all entries: %s", status.Number, joinEntries(status.Confirmed))
	}
	if s.json {
		if err := writeJSON(s.Stdout, status); err != nil {
			return err
		}
	}
	return &exitError{
		StatusPending, fmt.Sprintf("ticket %d is written, but not in force on %s yet", status.Number, joinEntries(status.Missing)),
		fmt.Sprintf(`It comes into force by itself. Check again with "endive ticket entries %d".`, status.Number),
	}
}

// waitUntilInForce polls a pending ticket's status until it is in force or the deadline
// has passed.
func (c *ticketApply) waitUntilInForce(ctx context.Context, s *session, status apiv1.TicketStatus) (apiv1.TicketStatus, error) {
	ticks := time.NewTicker(ticketPollInterval)
	defer ticks.Stop()
	for status.State != apiv1.TicketInForce && s.Clock.Now().Before(s.deadline) {
		select {
		case <-ctx.Done():
			return status, nil
		case <-ticks.C:
		}
		next, err := s.client.Ticket(ctx, status.Number)
		if ctx.Err() != nil {
			return status, nil
		}
		if err != nil {
			return status, err
		}
		status = next
	}
	return status, nil
}
