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

// Client asks the platform and the workers. It is safe for concurrent use.
type Client struct {
	transport http.RoundTripper
	clock     endive.Clock
	region    endive.Region
	prefix    string
	suspects  *guard.SuspectConns
	last      atomic.Uint64
}

// NewClient returns a client for the run of an entry in a region. The
// incarnation makes its request ids unique.
func NewClient(settings guard.Settings, clock endive.Clock, region endive.Region, incarnation endive.Incarnation) *Client {
	return &Client{
		transport: guard.NewTransport(settings, clock),
		clock:     clock,
		region:    region,
		prefix:    string(incarnation) + "-",
		suspects:  guard.NewSuspectConns(settings.MaxAge),
	}
}

// Now returns the time of the client's clock.
func (c *Client) Now() time.Time { return c.clock.Now() }

// Do makes one exchange with a request id of its own. The errors are those of
// Exchange.
func (c *Client) Do(ctx context.Context, method string, address endive.Address, path string, body []byte) (Answer, error) {
	return c.do(ctx, Ask{Method: method, Address: address, Path: path, Body: body})
}

// Get makes one exchange for what has an ETag, unless it is still the one at hand;
// then the answer's status is 304. The errors are those of Exchange.
func (c *Client) Get(ctx context.Context, address endive.Address, path, etag string) (Answer, error) {
	return c.do(ctx, Ask{Method: http.MethodGet, Address: address, Path: path, IfNoneMatch: etag})
}

func (c *Client) do(ctx context.Context, ask Ask) (Answer, error) {
	id := c.prefix + strconv.FormatUint(c.last.Add(1), 10)
	ask.Request = endive.RequestID(id)
	ask.Attempt = endive.AttemptID(id)
	ask.Region = c.region
	ask.MaxAnswer = MaxPlatformAnswer
	ask.NotBefore = c.suspects.NotBefore(ask.Address, c.clock.Now())
	answer, err := Exchange(ctx, c.transport, ask)
	if endive.ErrUnknown.Has(err) {
		c.suspects.MarkSuspect(ask.Address, c.clock.Now())
	}
	return answer, err
}

// Post sends in as JSON and returns the answer's status, with the answer decoded
// into out for status 200. Its error is of class ErrUnavailable where the
// request wasn't carried out (status 503 included) or ErrUnknown.
func (c *Client) Post(ctx context.Context, address endive.Address, path string, in, out any) (Answer, error) {
	return c.PostBefore(ctx, address, path, "", in, out)
}

// PostBefore is Post to a worker, which refuses the request after the time
// notAfter of its clock.
func (c *Client) PostBefore(ctx context.Context, address endive.Address, path, notAfter string, in, out any) (Answer, error) {
	body, err := json.Marshal(in)
	if err != nil {
		return Answer{}, endive.ErrInvalid.New("Client.Post: %w", err)
	}
	answer, err := c.do(ctx, Ask{Method: http.MethodPost, Address: address, Path: path, NotAfter: notAfter, Body: body})
	if err != nil {
		return Answer{}, err
	}
	switch {
	case answer.Status == http.StatusServiceUnavailable:
		return answer, endive.ErrUnavailable.New("Client.Post: %s%s: %s", address, path, answer.Body)
	case answer.Status >= http.StatusInternalServerError:
		return answer, endive.ErrUnknown.New("Client.Post: %s%s: status %d: %s", address, path, answer.Status, answer.Body)
	case answer.Status == http.StatusOK:
		if err := json.Unmarshal(answer.Body, out); err != nil {
			return answer, endive.ErrUnknown.New("Client.Post: %s%s: %w", address, path, err)
		}
	}
	return answer, nil
}
