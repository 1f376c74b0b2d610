package table

import (
	"context"
	"encoding/json"
	"net/http"

	"endiveroute.example/endive"
	"endiveroute.example/endive/rest"
)

// Client implements endive.Table over HTTP.
type Client struct {
	http    *rest.Client
	address endive.Address
}

var _ endive.Table = (*Client)(nil)

// New returns a client of the table service at address.
func New(http *rest.Client, address endive.Address) *Client {
	return &Client{http: http, address: address}
}

// ReadRequest asks for rows.
type ReadRequest struct {
	Keys []string `json:"keys"`
}

// Rows is a list of rows, as read or in conflict.
type Rows struct {
	Rows []endive.Row `json:"rows"`
}

// ScanRequest asks for changes.
type ScanRequest struct {
	Prefix string          `json:"prefix"`
	After  endive.Revision `json:"after"`
}

// Commit implements endive.Table.
func (c *Client) Commit(ctx context.Context, txn endive.Transaction) (endive.CommitResult, error) {
	var result endive.CommitResult
	answer, err := c.http.Post(ctx, c.address, "/v1/commit", txn, &result)
	if err != nil {
		return endive.CommitResult{}, err
	}
	switch answer.Status {
	case http.StatusOK:
		if len(result.Versions) != len(txn.Writes) {
			return endive.CommitResult{}, endive.ErrUnknown.New("Client.Commit: %d versions for %d writes", len(result.Versions), len(txn.Writes))
		}
		return result, nil
	case http.StatusConflict:
		var rows Rows
		if err := json.Unmarshal(answer.Body, &rows); err != nil {
			return endive.CommitResult{}, endive.ErrUnknown.New("Client.Commit: %w", err)
		}
		return endive.CommitResult{}, endive.ErrConflict.Wrap(&endive.ConflictError{Rows: rows.Rows})
	}
	return endive.CommitResult{}, endive.ErrInvalid.New("Client.Commit: status %d: %s", answer.Status, answer.Body)
}

// Read implements endive.Table.
func (c *Client) Read(ctx context.Context, keys ...string) ([]endive.Row, error) {
	var rows Rows
	if err := c.query(ctx, "/v1/read", ReadRequest{Keys: keys}, &rows); err != nil {
		return nil, err
	}
	return rows.Rows, nil
}

// Scan implements endive.Table.
func (c *Client) Scan(ctx context.Context, prefix string, after endive.Revision) (endive.Changes, error) {
	var changes endive.Changes
	if err := c.query(ctx, "/v1/scan", ScanRequest{Prefix: prefix, After: after}, &changes); err != nil {
		return endive.Changes{}, err
	}
	return changes, nil
}

// query sends a request that changes nothing, so that each failure is of class
// ErrUnavailable.
func (c *Client) query(ctx context.Context, path string, in, out any) error {
	answer, err := c.http.Post(ctx, c.address, path, in, out)
	if err != nil {
		return endive.ErrUnavailable.New("Client.query: %v", err)
	}
	if answer.Status != http.StatusOK {
		return endive.ErrUnavailable.New("Client.query: %s: status %d: %s", path, answer.Status, answer.Body)
	}
	return nil
}
