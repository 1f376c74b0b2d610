package worker

import (
	"context"
	"net/http"
	"sync"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/rest"
)

// maxDeliveryTime bounds the delivery of a command whose context has no
// deadline, or a deadline later than that.
const maxDeliveryTime = endive.Interval(4 * time.Second)

// Client implements endive.Workers over HTTP. Each command contains its deadline
// as a time on the worker's own clock. A worker that was paused while a command
// was in its socket buffer refuses the command after the deadline, so that no
// lease begins after the sender's call has timed out.
type Client struct {
	http *rest.Client

	mu       sync.Mutex
	readings map[endive.Address]clockReading
}

var _ endive.Workers = (*Client)(nil)

// New returns a client for all workers.
func New(http *rest.Client) *Client {
	return &Client{http: http, readings: make(map[endive.Address]clockReading)}
}

// Send implements endive.Workers. The worker carries out the command before the
// deadline of ctx and within maxDeliveryTime, or never.
func (c *Client) Send(ctx context.Context, to endive.Address, command endive.WorkerCommand) (endive.WorkerReport, error) {
	deadline := maxDeliveryTime.After(c.http.Now())
	if d, ok := ctx.Deadline(); ok && d.Before(deadline) {
		deadline = d
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	clock, err := c.workerClock(ctx, to)
	if err != nil {
		return endive.WorkerReport{}, err
	}
	var report endive.WorkerReport
	answer, err := c.http.PostNotAfter(ctx, to, "/v1/command", clock.timestampAt(deadline), command, &report)
	if err != nil {
		return endive.WorkerReport{}, err
	}
	c.recordReading(to, answer)
	if answer.Status == http.StatusPreconditionFailed {
		return endive.WorkerReport{}, endive.ErrUnavailable.New("Client.Send: %s: %s", to, answer.Body)
	}
	if answer.Status != http.StatusOK {
		return endive.WorkerReport{}, endive.ErrUnknown.New("Client.Send: %s: status %d: %s", to, answer.Status, answer.Body)
	}
	return report, nil
}

// workerClock returns the last reading of a worker's clock. It requests a
// reading if there is none.
func (c *Client) workerClock(ctx context.Context, to endive.Address) (clockReading, error) {
	c.mu.Lock()
	known, ok := c.readings[to]
	c.mu.Unlock()
	if ok {
		return known, nil
	}
	answer, err := c.http.Do(ctx, http.MethodGet, to, "/v1/clock", nil)
	if err != nil {
		return clockReading{}, endive.ErrUnavailable.New("Client.workerClock: %v", err)
	}
	r, err := parseClockReading(answer.Clock, c.http.Now())
	if err != nil {
		return clockReading{}, endive.ErrUnavailable.New("Client.workerClock: %s: %v", to, err)
	}
	c.recordReading(to, answer)
	return r, nil
}

// recordReading stores the clock reading in an answer, if the answer has a
// valid one.
func (c *Client) recordReading(to endive.Address, answer rest.Response) {
	r, err := parseClockReading(answer.Clock, c.http.Now())
	if err != nil {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readings[to] = r
}
