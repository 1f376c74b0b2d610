package cmds

import (
	"context"
	"sort"

	"endiveroute.example/endive"
)

const ticketEntriesHelp = `
Shows which entries have a ticket in force. The exit status is 7 while an entry
hasn't confirmed it.

Examples:

  endive ticket entries 17
  endive ticket entries 17 --json
`

// ticketEntries is the command that shows which entries have a ticket in force.
type ticketEntries struct {
	number uint64
}

// run implements command.
func (c *ticketEntries) run(ctx context.Context, s *session) error {
	status, err := s.client.Ticket(ctx, endive.TicketNumber(c.number))
	if err != nil {
		return err
	}
	var rows []string
	for _, entry := range status.Confirmed {
		rows = append(rows, row(entry, true))
	}
	for _, entry := range status.Missing {
		rows = append(rows, row(entry, false))
	}
	sort.Strings(rows)
	if err := s.printTable(status, "ENTRY\tIN FORCE", rows); err != nil {
		return err
	}
	if len(status.Missing) > 0 {
		return &exitError{StatusPending, "the ticket isn't in force everywhere yet", "It comes into force by itself; try again later, or check the missing entries with \"endive show entries\"."}
	}
	return nil
}
