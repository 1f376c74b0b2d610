package cmds

import (
	"context"

	"endiveroute.example/endive"
)

const showAccountsHelp = `
Shows what the client accounts of a cell use in each pool, by the metrics of the
pools' holders: what runs, what waits for the account's cap or for tickets, and what
may run here (the pool's part of the account's cap over all pools; "-" if there is no
cap). Each pool shows the accounts that run most, and the sum of the others.
--entry takes the addresses at which the entries serve their metrics (listen.metrics);
give those of all entries, since only the holder of a pool has its accounts.

Examples:

  endive show accounts --entry 10.0.0.1:9464,10.0.0.2:9464,10.0.0.3:9464
  endive show accounts --entry 10.0.0.1:9464,10.0.0.2:9464 --json
`

// showAccounts is the command that shows what the client accounts of a cell use.
type showAccounts struct{}

// run implements command.
func (c *showAccounts) run(ctx context.Context, s *session) error {
	list, err := s.client.AllAccounts(ctx)
	if err = s.warnPartial(err, len(list.Accounts)); err != nil {
		return err
	}
	var rows []string
	for _, a := range list.Accounts {
		part, limit := "", ""
		if a.Cap != (endive.Resources{}) {
			part, limit = a.Part.String(), a.Cap.String()
		}
		rows = append(rows, row(a.Pool, a.Name, a.Running, a.Waiting, part, limit))
	}
	return s.printTable(list, "POOL\tACCOUNT\tRUNS\tWAITS\tMAY RUN HERE\tCAP", rows)
}
