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

// New returns a client of the table service at the given address.
func New(http *rest.Client, address endive.Address) *Client {
	return &Client{http: http, address: address}
}

// ReadRequest is the request body of a read of rows.
type ReadRequest struct {
	Keys []string `json:"keys"`
}

// Rows is the response body of a read, and of a commit that failed because of conflicting rows.
type Rows struct {
	Rows []endive.Row `json:"rows"`
}

// ScanRequest is the request body of a scan for changed rows.
type ScanRequest struct {
	Prefix string          `json:"prefix"`
	After  endive.Revision `json:"after"`
}

// Commit implements endive.Table.
func (c *Client) Commit(ctx context.Context, txn endive.Transaction) (endive.CommitResult, error) {
	var result endive.CommitResult
	response, err := c.http.Post(ctx, c.address, "/v1/commit", txn, &result)
	if err != nil {
		return endive.CommitResult{}, err
	}
	switch response.Status {
	case http.StatusOK:
		if len(result.Versions) != len(txn.Writes) {
			return endive.CommitResult{}, endive.ErrUnknown.New("Client.Commit: response has %d versions for %d writes", len(result.Versions), len(txn.Writes))
		}
		return result, nil
	case http.StatusConflict:
		var rows Rows
		if err := json.Unmarshal(response.Body, &rows); err != nil {
			return endive.CommitResult{}, endive.ErrUnknown.New("Client.Commit: cannot decode conflicting rows: %w", err)
		}
		return endive.CommitResult{}, endive.ErrConflict.Wrap(&endive.ConflictError{Rows: rows.Rows})
	}
	return endive.CommitResult{}, endive.ErrInvalid.New("Client.Commit: status %d: %s", response.Status, response.Body)
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

// query sends a read-only request. All of its errors are of class ErrUnavailable, because a
// failed read has no effect.
func (c *Client) query(ctx context.Context, path string, in, out any) error {
	response, err := c.http.Post(ctx, c.address, path, in, out)
	if err != nil {
		return endive.ErrUnavailable.New("Client.query: %v", err)
	}
	if response.Status != http.StatusOK {
		return endive.ErrUnavailable.New("Client.query: %s: status %d: %s", path, response.Status, response.Body)
	}
	return nil
}
