package cmds

import "context"

// showSlots is the command that shows how the slots of executors are distributed.
type showSlots struct{}

// run implements command.
func (c *showSlots) run(ctx context.Context, s *session) error {
	list, err := s.client.Slots(ctx)
	if err != nil {
		return err
	}
	var rows []string
	for _, one := range list.Slots {
		rows = append(rows, row(one.Executor, one.Service, one.Zone, one.State, one.Owner, one.Slots, one.Held, one.Busy, one.Lent, one.EjectionReason))
	}
	return s.printTable(list, "EXECUTOR\tSERVICE\tZONE\tSTATE\tOWNER\tSLOTS\tHELD\tBUSY\tLENT\tEJECTED", rows)
}
