package client

import (
	"context"
	"net/http"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
)

// Apply sends a ticket, and returns when the ticket is in force on all entries,
// or when it is written but still pending at the deadline. Applying the same
// ticket again has no further effect.
func (c *Client) Apply(ctx context.Context, ticket endive.Ticket, deadline time.Time) (apiv1.TicketStatus, error) {
	var status apiv1.TicketStatus
	err := c.json(ctx, call{method: http.MethodPost, path: apiv1.PathTickets, repeatable: true, deadline: deadline}, ticket, &status)
	return status, err
}

// Ticket returns the status of a ticket, with the entries that have it in force.
func (c *Client) Ticket(ctx context.Context, number endive.TicketNumber) (apiv1.TicketStatus, error) {
	var status apiv1.TicketStatus
	err := c.get(ctx, apiv1.TicketPath(number), &status)
	return status, err
}

// Config returns the configuration that the queried entry has in force.
func (c *Client) Config(ctx context.Context) (apiv1.Config, error) {
	var config apiv1.Config
	err := c.get(ctx, apiv1.PathConfig, &config)
	return config, err
}
