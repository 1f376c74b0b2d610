package worker

import (
	"context"
	"net/http"
	"sync"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/rest"
)

// maxDelivery bounds the delivery of a command whose context has no deadline.
const maxDelivery = endive.Interval(4 * time.Second)

// Client implements endive.Workers over HTTP. Each command carries the time on
// the worker's own clock at which the command's context ends. A worker that was
// paused with a command in its socket refuses it later, so that no lease begins
// after the sender has given the command up.
type Client struct {
	http *rest.Client

	mu       sync.Mutex
	readings map[endive.Address]reading
}

var _ endive.Workers = (*Client)(nil)

// New returns a client of all workers.
func New(http *rest.Client) *Client {
	return &Client{http: http, readings: make(map[endive.Address]reading)}
}

// Send implements endive.Workers. The command is carried out before the deadline
// of ctx, at most 4 seconds from now, or never.
func (c *Client) Send(ctx context.Context, to endive.Address, command endive.WorkerCommand) (endive.WorkerReport, error) {
	deadline := maxDelivery.After(c.http.Now())
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	clock, err := c.reading(ctx, to)
	if err != nil {
		return endive.WorkerReport{}, err
	}
	var report endive.WorkerReport
	answer, err := c.http.PostNotAfter(ctx, to, "/v1/command", clock.at(deadline), command, &report)
	if err != nil {
		return endive.WorkerReport{}, err
	}
	c.note(to, answer)
	if answer.Status == http.StatusPreconditionFailed {
		return endive.WorkerReport{}, endive.ErrUnavailable.New("Client.Send: %s: %s", to, answer.Body)
	}
	if answer.Status != http.StatusOK {
		return endive.WorkerReport{}, endive.ErrUnknown.New("Client.Send: %s: status %d: %s", to, answer.Status, answer.Body)
	}
	return report, nil
}

// reading returns the last reading of a worker's clock, or asks for one.
func (c *Client) reading(ctx context.Context, to endive.Address) (reading, error) {
	c.mu.Lock()
	known, ok := c.readings[to]
	c.mu.Unlock()
	if ok {
		return known, nil
	}
	answer, err := c.http.Do(ctx, http.MethodGet, to, "/v1/clock", nil)
	if err != nil {
		return reading{}, endive.ErrUnavailable.New("Client.reading: %v", err)
	}
	r, err := parseReading(answer.Clock, c.http.Now())
	if err != nil {
		return reading{}, endive.ErrUnavailable.New("Client.reading: %s: %v", to, err)
	}
	c.note(to, answer)
	return r, nil
}

// note keeps the reading of an answer.
func (c *Client) note(to endive.Address, answer rest.Response) {
	r, err := parseReading(answer.Clock, c.http.Now())
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readings[to] = r
}
