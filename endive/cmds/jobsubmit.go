package cmds

import (
	"context"

	"endiveroute.example/endive"
	"endiveroute.example/endive/files"
)

const jobSubmitHelp = `
Reads a job from a TOML or JSON file, checks it and submits it. The entry answers
once the job is stored, so that no failure loses it. Submitting again with the same
key doesn't create a second job: if the answer is lost, run the command again.

A job that doesn't fit on any worker, even an empty one, is refused with all reasons.

Kinds: "batch" runs each task to its end, "gang" starts all tasks at once or
none, "watcher" keeps each task running until it is cancelled. Processors are in
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

// jobSubmit is the command that submits a job.
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
