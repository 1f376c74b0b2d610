package cmds

import (
	"context"
	"fmt"

	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
)

const jobListHelp = `
Lists jobs in the order of their ids. W, R and D count the tasks that are waiting,
running and done (succeeded).

Examples:

  endive job list
  endive job list --team cutters --state waiting
  endive job list --limit 1000 --after j-17 --json
`

// jobList is the command that lists jobs.
type jobList struct {
	team, name, state, after string
	limit                    int
}

// run implements command.
func (c *jobList) run(ctx context.Context, s *session) error {
	list, err := s.client.Jobs(ctx, apiv1.JobQuery{
		Team: endive.TeamName(c.team), Name: endive.JobName(c.name), State: apiv1.JobState(c.state),
		After: endive.JobID(c.after), Limit: c.limit,
	})
	if err != nil {
		return err
	}
	var rows []string
	for _, status := range list.Jobs {
		rows = append(rows, row(status.Job.ID, status.Job.Name, status.Job.Team, status.Job.Kind, status.Job.Priority, status.State,
			status.Tasks.Waiting, status.Tasks.Running, status.Tasks.Succeeded, status.Slice))
	}
	if err := s.printTable(list, "JOB\tNAME\tTEAM\tKIND\tPRIORITY\tSTATE\tW\tR\tD\tSLICE", rows); err != nil {
		return err
	}
	if list.Next != "" && !s.json {
		fmt.Fprintf(s.Stderr, "there are more: endive job list --after %s\n", list.Next)
	}
	return nil
}
