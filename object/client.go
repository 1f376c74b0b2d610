package object

import (
	"context"
	"net/http"
	"net/url"

	"endiveroute.example/endive"
	"endiveroute.example/endive/rest"
)

// Client implements endive.Objects over HTTP.
type Client struct {
	http    *rest.Client
	address endive.Address
}

var _ endive.Objects = (*Client)(nil)

// New returns a client of the object store at the given address.
func New(http *rest.Client, address endive.Address) *Client {
	return &Client{http: http, address: address}
}

// Put implements endive.Objects.
func (c *Client) Put(ctx context.Context, name string, body []byte) error {
	response, err := c.http.Do(ctx, http.MethodPut, c.address, path(name), body)
	if err != nil {
		return err
	}
	switch response.Status {
	case http.StatusOK:
		return nil
	case http.StatusServiceUnavailable:
		return endive.ErrUnavailable.New("Client.Put: %s: %s", name, response.Body)
	case http.StatusConflict:
		return endive.ErrConflict.New("Client.Put: %s already exists with different content", name)
	}
	return endive.ErrUnknown.New("Client.Put: %s: status %d: %s", name, response.Status, response.Body)
}

// Get implements endive.Objects.
func (c *Client) Get(ctx context.Context, name string) ([]byte, error) {
	response, err := c.http.Do(ctx, http.MethodGet, c.address, path(name), nil)
	if err != nil {
		return nil, endive.ErrUnavailable.New("Client.Get: %v", err)
	}
	switch response.Status {
	case http.StatusOK:
		return response.Body, nil
	case http.StatusNotFound:
		return nil, endive.ErrNotFound.New("Client.Get: %s", name)
	}
	return nil, endive.ErrUnavailable.New("Client.Get: %s: status %d: %s", name, response.Status, response.Body)
}

func path(name string) string { return "/v1/objects/" + url.PathEscape(name) }
