package rest

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/guard"
)

// Client sends requests to the platform and to workers. It is safe for concurrent use.
type Client struct {
	transport       http.RoundTripper
	clock           endive.Clock
	region          endive.Region
	requestIDPrefix string
	suspects        *guard.SuspectConns
	lastRequestID   atomic.Uint64
}

// NewClient returns a client for an entry in a region. The incarnation is the
// prefix of the client's request ids, which makes the ids unique across
// restarts of the entry.
func NewClient(settings guard.Settings, clock endive.Clock, region endive.Region, incarnation endive.Incarnation) *Client {
	return &Client{
		transport:       guard.NewTransport(settings, clock),
		clock:           clock,
		region:          region,
		requestIDPrefix: string(incarnation) + "-",
		suspects:        guard.NewSuspectConns(settings.MaxAge),
	}
}

// Now returns the current time of the client's clock.
func (c *Client) Now() time.Time { return c.clock.Now() }

// Do sends a request with a new request id. It returns the errors of Exchange.
func (c *Client) Do(ctx context.Context, method string, address endive.Address, path string, body []byte) (Response, error) {
	return c.do(ctx, Request{Method: method, Address: address, Path: path, Body: body})
}

// Get requests a resource. The response's status is 304 if the resource still
// has the given ETag. Get returns the errors of Exchange.
func (c *Client) Get(ctx context.Context, address endive.Address, path, etag string) (Response, error) {
	return c.do(ctx, Request{Method: http.MethodGet, Address: address, Path: path, IfNoneMatch: etag})
}

func (c *Client) do(ctx context.Context, request Request) (Response, error) {
	id := c.requestIDPrefix + strconv.FormatUint(c.lastRequestID.Add(1), 10)
	request.RequestID = endive.RequestID(id)
	request.AttemptID = endive.AttemptID(id)
	request.Region = c.region
	request.MaxResponseBody = MaxPlatformResponse
	request.NotBefore = c.suspects.NotBefore(request.Address, c.clock.Now())
	response, err := Exchange(ctx, c.transport, request)
	if endive.ErrUnknown.Has(err) {
		c.suspects.MarkSuspect(request.Address, c.clock.Now())
	}
	return response, err
}

// Post sends the value in as JSON, and decodes the response into out if the
// status is 200. The error is of class ErrUnavailable if the request wasn't
// carried out (including status 503), ErrUnknown if the request may have been
// carried out, or ErrInvalid if the value can't be encoded.
func (c *Client) Post(ctx context.Context, address endive.Address, path string, in, out any) (Response, error) {
	return c.PostNotAfter(ctx, address, path, "", in, out)
}

// PostNotAfter is like Post, for a worker that refuses the request when its own clock is
// past notAfter.
func (c *Client) PostNotAfter(ctx context.Context, address endive.Address, path, notAfter string, in, out any) (Response, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return Response{}, endive.ErrInvalid.New("Client.Post: %w", err)
	}
	response, err := c.do(ctx, Request{Method: http.MethodPost, Address: address, Path: path, NotAfter: notAfter, Body: body})
	if err != nil {
		return Response{}, err
	}
	switch {
	case response.Status == http.StatusServiceUnavailable:
		return response, endive.ErrUnavailable.New("Client.Post: %s%s: %s", address, path, response.Body)
	case response.Status >= http.StatusInternalServerError:
		return response, endive.ErrUnknown.New("Client.Post: %s%s: status %d: %s", address, path, response.Status, response.Body)
	case response.Status == http.StatusOK:
		if err := json.Unmarshal(response.Body, out); err != nil {
			return response, endive.ErrUnknown.New("Client.Post: %s%s: %w", address, path, err)
		}
	}
	return response, nil
}
