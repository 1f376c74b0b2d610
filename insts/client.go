package insts

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"endiveroute.example/endive"
	"endiveroute.example/endive/rest"
)

// Client implements endive.Instances over HTTP. It asks for the list only where
// it changed, since the list is long and is read each second by each entry. It is
// safe for concurrent use.
type Client struct {
	http    *rest.Client
	address endive.Address

	mu sync.Mutex
	// etag names the list that was read last.
	etag      string
	instances []endive.Instance
}

var _ endive.Instances = (*Client)(nil)

// New returns a client of the instance list at address.
func New(http *rest.Client, address endive.Address) *Client {
	return &Client{http: http, address: address}
}

// List is the answer of the instance list.
type List struct {
	Instances []endive.Instance `json:"instances"`
}

// List implements endive.Instances. The caller must not change what it returns.
func (c *Client) List(ctx context.Context) ([]endive.Instance, error) {
	etag, last := c.cached()
	answer, err := c.http.Get(ctx, c.address, "/v1/instances", etag)
	if err != nil {
		return nil, endive.ErrUnavailable.New("Client.List: %v", err)
	}
	switch {
	case answer.Status == http.StatusNotModified && etag != "":
		return last, nil
	case answer.Status != http.StatusOK:
		return nil, endive.ErrUnavailable.New("Client.List: status %d: %s", answer.Status, answer.Body)
	}
	var list List
	if err := json.Unmarshal(answer.Body, &list); err != nil {
		return nil, endive.ErrUnavailable.New("Client.List: %v", err)
	}
	c.updateCache(answer.ETag, list.Instances)
	return list.Instances, nil
}

func (c *Client) cached() (string, []endive.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.etag, c.instances
}

func (c *Client) updateCache(etag string, instances []endive.Instance) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.etag, c.instances = etag, instances
}
