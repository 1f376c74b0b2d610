package cmds

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"os"

	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
)

const askHelp = `
Sends one request to a service and writes the service's answer. --timeout sets the
request's deadline; without it, the timeout in the service's configuration applies.

A request has one of three outcomes: answered; not run (exit status 3): no
executor has run it or will run it; unknown (exit status 4): an executor may have
run it. Requests such as cutting a panel are non-idempotent: give --non-idempotent
and a --key that is the same for each retry, and the request runs at most once.

Examples:

  endive ask quote '{"tent": "marquee", "metres": 3}'
  endive ask quote --file question.json --timeout 800ms
  endive ask cut --non-idempotent --key order-1207-panel-3 '{"panel": 3}'
  echo 4 | endive ask porsiyon --file - --json
`

// ask is the command that sends a request to a service.
type ask struct {
	service, body, file, key string
	nonIdempotent            bool
}

// jsonAnswer is the JSON output of the ask command.
type jsonAnswer struct {
	Request    endive.RequestID `json:"request,omitempty"`
	Outcome    endive.Outcome   `json:"outcome"`
	Status     int              `json:"status,omitempty"`
	Body       string           `json:"body,omitempty"`
	Repeated   bool             `json:"repeated,omitempty"`
	RetryAfter endive.Interval  `json:"retryAfter,omitempty"`
	Reason     string           `json:"reason,omitempty"`
}

// run implements command.
func (c *ask) run(ctx context.Context, s *session) error {
	if c.nonIdempotent && c.key == "" {
		return &exitError{StatusUsage, "--non-idempotent needs --key", "Choose a key that is the same for each retry, such as an order's number."}
	}
	body, err := c.readBody(s)
	if err != nil {
		return err
	}
	request := apiv1.Request{
		Service: endive.ServiceName(c.service), Key: endive.IdempotencyKey(c.key), NonIdempotent: c.nonIdempotent, Body: body,
	}
	if s.timeoutGiven {
		request.Deadline = s.deadline
	}
	got, err := s.client.SendRequest(ctx, request)
	if s.json {
		if writeErr := writeJSON(s.Stdout, jsonAnswer{got.Request, got.Outcome, got.Status, string(got.Body), got.Repeated, got.RetryAfter, got.Reason}); writeErr != nil {
			return writeErr
		}
	}
	if err != nil {
		return c.requestError(got, err)
	}
	if !s.json {
		if _, err := s.Stdout.Write(got.Body); err != nil {
			return err
		}
	}
	if got.Status >= http.StatusBadRequest {
		return &exitError{StatusFailed, fmt.Sprintf("the service answered with status %d", got.Status), "The request was run; see the service's answer."}
	}
	return nil
}

// readBody returns the request's body from the argument, a file or standard input.
func (c *ask) readBody(s *session) ([]byte, error) {
	from := s.Stdin
	switch {
	case c.file != "" && c.body != "":
		return nil, &exitError{StatusUsage, "the request's body is given twice", "Give the body or --file."}
	case c.file == "":
		return []byte(c.body), nil
	case c.file != "-":
		file, err := os.Open(c.file)
		if err != nil {
			return nil, err
		}
		defer file.Close()
		from = file
	}
	body, err := io.ReadAll(io.LimitReader(from, int64(apiv1.MaxBody)+1))
	if err == nil && endive.Bytes(len(body)) > apiv1.MaxBody {
		err = &exitError{StatusInvalid, fmt.Sprintf("the request's body is longer than %d bytes; nothing was sent", apiv1.MaxBody), "Put large data into the object store, and send its name."}
	}
	return body, err
}

// requestError returns the error of a request that wasn't answered. It makes the exit
// status StatusUnknown if the outcome is Unknown, whatever err is.
func (c *ask) requestError(got apiv1.Answer, err error) error {
	if got.Outcome == endive.Unknown && statusOf(err) != StatusUnknown {
		return &exitError{StatusUnknown, got.Reason, newFailure(err).Next}
	}
	if got.Outcome == endive.Unknown && c.key != "" {
		return &exitError{StatusUnknown, got.Reason, fmt.Sprintf(`It may have been run. Check with "endive outcome %s %s", or send it again with the same key.`, c.service, c.key)}
	}
	return err
}
