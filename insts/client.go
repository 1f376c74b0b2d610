package insts

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"

	"endiveroute.example/endive"
	"endiveroute.example/endive/rest"
)

// Client implements endive.Instances over HTTP. It sends conditional requests and caches the
// list, because the list is long and each entry reads it every second. It is safe for
// concurrent use.
type Client struct {
	http    *rest.Client
	address endive.Address

	mu sync.Mutex
	// etag is the entity tag of the cached list.
	etag      string
	instances []endive.Instance
}

var _ endive.Instances = (*Client)(nil)

// New returns a client of the instance list at the given address.
func New(http *rest.Client, address endive.Address) *Client {
	return &Client{http: http, address: address}
}

// List is the response body of the instance list.
type List struct {
	Instances []endive.Instance `json:"instances"`
}

// List implements endive.Instances. The caller must not modify the returned slice.
func (c *Client) List(ctx context.Context) ([]endive.Instance, error) {
	etag, cached := c.cached()
	response, err := c.http.Get(ctx, c.address, "/v1/instances", etag)
	if err != nil {
		return nil, endive.ErrUnavailable.New("Client.List: %v", err)
	}
	switch {
	case response.Status == http.StatusNotModified && etag != "":
		return cached, nil
	case response.Status != http.StatusOK:
		return nil, endive.ErrUnavailable.New("Client.List: status %d: %s", response.Status, response.Body)
	}
	var list List
	if err := json.Unmarshal(response.Body, &list); err != nil {
		return nil, endive.ErrUnavailable.New("Client.List: cannot decode response: %v", err)
	}
	c.updateCache(response.ETag, list.Instances)
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
