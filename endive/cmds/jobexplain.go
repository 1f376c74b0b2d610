package cmds

import (
	"context"
	"fmt"
	"strings"

	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
)

const jobExplainHelp = `
Shows one job: its state, its tasks by state, the workers that run them, and why
tasks are waiting: how many tasks are ahead in the queue, and why workers can't
run them.

Examples:

  endive job explain j-17
  endive job explain j-17 --json
`

// maxAttemptLines bounds the number of attempts shown, one per line.
const maxAttemptLines = 20

// jobExplain is the command that shows one job and why its tasks are waiting.
type jobExplain struct {
	job string
}

// run implements command.
func (c *jobExplain) run(ctx context.Context, s *session) error {
	status, err := s.client.Job(ctx, endive.JobID(c.job))
	if err != nil {
		return err
	}
	return s.printResult(status, "%s", formatJob(status))
}

// formatJob formats a job's status as several lines of text.
func formatJob(status apiv1.JobStatus) string {
	job, tasks := status.Job, status.Tasks
	lines := []string{
		fmt.Sprintf("job %s (%s of team %s, pool %s) is %s", job.ID, job.Name, job.Team, job.Pool, status.State),
		fmt.Sprintf("  %s, priority %d, %d tasks of %s each", job.Kind, job.Priority, job.Tasks, job.Need),
		fmt.Sprintf("  tasks: %d waiting, %d running, %d succeeded, %d failed, %d cancelled, %d unknown",
			tasks.Waiting, tasks.Running, tasks.Succeeded, tasks.Failed, tasks.Cancelled, tasks.Unknown),
	}
	if status.Slice != "" {
		lines = append(lines, "  slice: "+string(status.Slice))
	}
	for i, attempt := range status.Attempts {
		if i == maxAttemptLines {
			lines = append(lines, fmt.Sprintf("  and %d more; --json lists all", len(status.Attempts)-i))
			break
		}
		lines = append(lines, "  "+formatAttempt(attempt))
	}
	if why := status.Waiting; why != nil {
		lines = append(lines, "  why it is waiting: "+why.Summary)
		if why.Ahead > 0 {
			lines = append(lines, fmt.Sprintf("    %d tasks go first", why.Ahead))
		}
		for _, reason := range why.Reasons {
			lines = append(lines, "    "+reason)
		}
	}
	return strings.Join(lines, "\n")
}

// formatAttempt formats the worker that runs a task. The attempt has no task and attempt
// id if the holder of the slice reported the worker only.
func formatAttempt(a apiv1.Attempt) string {
	if a.Task == "" {
		return fmt.Sprintf("a task runs on %s", a.Worker)
	}
	return fmt.Sprintf("task %s runs on %s (attempt %s)", a.Task, a.Worker, a.Attempt)
}
