package cmds

import "context"

// showInstances is the command that shows the workers and executors.
type showInstances struct{}

// run implements command.
func (c *showInstances) run(ctx context.Context, s *session) error {
	list, err := s.client.Instances(ctx)
	if err != nil {
		return err
	}
	var rows []string
	for _, e := range list.Instances {
		rows = append(rows, row(e.ID, e.Kind, e.State, e.Drained, e.Region, e.Zone, e.Rack, string(e.Service)+string(e.Pool), e.Address))
	}
	return s.printTable(list, "INSTANCE\tKIND\tSTATE\tDRAINED\tREGION\tZONE\tRACK\tFOR\tADDRESS", rows)
}
