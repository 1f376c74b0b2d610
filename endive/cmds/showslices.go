package cmds

import "context"

// showSlices is the command that shows the slices.
type showSlices struct{}

// run implements command.
func (c *showSlices) run(ctx context.Context, s *session) error {
	list, err := s.client.AllSlices(ctx)
	if err = s.warnPartial(err, len(list.Slices)); err != nil {
		return err
	}
	var rows []string
	for _, one := range list.Slices {
		rows = append(rows, row(one.ID, one.Holder, one.Epoch, one.Workers, one.Queued, one.Running, one.Free))
	}
	return s.printTable(list, "SLICE\tHOLDER\tEPOCH\tWORKERS\tQUEUED\tRUNNING\tFREE", rows)
}
