package cmds

import "context"

// showWorkers is the command that shows the workers.
type showWorkers struct{}

// run implements command.
func (c *showWorkers) run(ctx context.Context, s *session) error {
	list, err := s.client.AllWorkers(ctx)
	if err = s.warnPartial(err, len(list.Workers)); err != nil {
		return err
	}
	var rows []string
	for _, w := range list.Workers {
		rows = append(rows, row(w.ID, w.Slice, w.Zone, w.Rack, w.State, w.Tasks, w.Committed, w.Size, w.QuarantineReason))
	}
	return s.printTable(list, "WORKER\tSLICE\tZONE\tRACK\tSTATE\tTASKS\tCOMMITTED\tSIZE\tQUARANTINED", rows)
}
