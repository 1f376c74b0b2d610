package cmds

import "context"

// showEntries is the command that shows the entries.
type showEntries struct{}

// run implements command.
func (c *showEntries) run(ctx context.Context, s *session) error {
	list, err := s.client.Entries(ctx)
	if err != nil {
		return err
	}
	var rows []string
	for _, e := range list.Entries {
		rows = append(rows, row(e.ID, e.State, e.Ready, e.Region, e.Zone, e.Address, e.ConfigRevision, e.Self))
	}
	return s.printTable(list, "ENTRY\tSTATE\tREADY\tREGION\tZONE\tADDRESS\tREVISION\tASKED", rows)
}
