package cmds

import (
	"context"
	"fmt"

	"endiveroute.example/endive"
)

const outcomeHelp = `
Shows the recorded outcome of the request with an idempotency key, and the service's
answer if there is one. The exit status depends on the outcome: 0 answered, 3 not
run, 4 unknown, 7 still running, 8 no request with this key.

Examples:

  endive outcome cut order-1207-panel-3
  endive outcome cut order-1207-panel-3 --json
`

// outcome is the command that shows the recorded outcome of a request.
type outcome struct {
	service, key string
}

// run implements command.
func (c *outcome) run(ctx context.Context, s *session) error {
	recorded, err := s.client.Outcome(ctx, endive.ServiceName(c.service), endive.IdempotencyKey(c.key))
	if statusOf(err) == StatusRefused {
		// A refused look-up doesn't mean that the request itself was refused.
		return &exitError{StatusUnknown, "the outcome couldn't be looked up: " + newFailure(err).Message, "Try again later."}
	}
	if err != nil {
		return err
	}
	text := string(recorded.Outcome)
	if recorded.Running {
		text = "running"
	}
	if recorded.Outcome == endive.Answered {
		text = fmt.Sprintf("answered with status %d\n%s", recorded.Status, recorded.Body)
	}
	if err := s.printResult(recorded, "%s", text); err != nil {
		return err
	}
	switch {
	case recorded.Running:
		return &exitError{StatusPending, "the request is still running", "Try again later."}
	case recorded.Outcome == endive.NotRun:
		return &exitError{StatusRefused, "the request was not run: " + recorded.Reason, "Send it again with the same key."}
	case recorded.Outcome == endive.Unknown:
		return &exitError{StatusUnknown, "an executor may have run the request: " + recorded.Reason, "Check with the service whether it has."}
	}
	return nil
}
