package cmds

import (
	"context"

	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
)

const jobCancelHelp = `
Cancels one job, all jobs of a team, all jobs with a name, or all jobs with a name
within a team. Running tasks are stopped; their capacity is free once their end is
confirmed. Jobs that are submitted later aren't cancelled.

Examples:

  endive job cancel j-17
  endive job cancel --team cutters
  endive job cancel --team cutters --name cut-plan
`

// jobCancel is the command that cancels jobs.
type jobCancel struct {
	job, team, name string
}

// run implements command.
func (c *jobCancel) run(ctx context.Context, s *session) error {
	cancellation := apiv1.Cancellation{Job: endive.JobID(c.job), Team: endive.TeamName(c.team), Name: endive.JobName(c.name)}
	if err := cancellation.Validate().Err(); err != nil {
		return &exitError{StatusUsage, err.Error(), "Give the id of a job, or --team, --name or both."}
	}
	cancelled, err := s.client.Cancel(ctx, cancellation)
	if err != nil {
		return err
	}
	return s.printResult(cancelled, "%s cancelled; tasks that run are being stopped", plural(cancelled.Jobs, "job"))
}
