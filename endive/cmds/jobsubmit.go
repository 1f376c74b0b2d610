package cmds

import (
	"context"

	"endiveroute.example/endive"
	"endiveroute.example/endive/files"
)

const jobSubmitHelp = `
Reads a job from a TOML or JSON file, checks it and submits it. The answer comes
once the job is recorded, so that no failure loses it. Under the same key it is
the same job: after a lost answer, run the command again.

A job that no worker could ever hold is refused, with each reason.

Kinds: "batch" runs each task to its end, "gang" starts all tasks at once or
none, "watcher" keeps each task alive until it is cancelled. Processors are in
thousandths, memory is in bytes.

Examples:

  endive job submit plan.toml
  endive job submit plan.toml --key plan-2026-06-01

A job file:

  name = "cut-plan"
  team = "cutters"
  pool = "planner"
  kind = "gang"
  tasks = 4
  priority = 100
  runTime = "20m"
  key = "plan-2026-06-01"

  [need]
  processors = 8000
  memory = 17179869184
  accelerators = 1
`

// jobSubmit submits a job.
type jobSubmit struct {
	file string
	key  string
}

// run implements command.
func (c *jobSubmit) run(ctx context.Context, s *session) error {
	job, err := files.LoadJob(c.file, endive.IdempotencyKey(c.key))
	if err != nil {
		return err
	}
	status, err := s.client.Submit(ctx, job)
	if err != nil {
		return err
	}
	return s.printResult(status, "job %s is %s (%s)", status.Job.ID, status.State, plural(status.Job.Tasks, "task"))
}
