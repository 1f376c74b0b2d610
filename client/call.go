package client

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"net"
	"net/http"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
)

// call holds the parts of an HTTP call, so that it can be sent more than once.
type call struct {
	method string
	path   string
	header http.Header
	body   []byte
	// repeatable reports whether the call has the same effect if it is sent
	// twice: the call is idempotent, or a key or number identifies it.
	repeatable bool
	// deadline is sent as the time remaining until then; zero for none.
	deadline time.Time
}

// response is a complete HTTP response.
type response struct {
	status int
	header http.Header
	body   []byte
	// maybeExecuted reports whether an earlier attempt at the same call may have been
	// carried out.
	maybeExecuted bool
}

// do sends a call to one entry after another until one responds with a status
// other than 503. After a lost answer, do continues only if the call is
// repeatable. The error is of class ErrUnreachable (nothing was sent) or
// endive.ErrUnknown.
func (c *Client) do(ctx context.Context, call call) (response, error) {
	if len(c.addresses) == 0 {
		return response{}, ErrUnreachable.New("no entry addresses were given")
	}
	if !call.deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, call.deadline.Add(deadlineGrace))
		defer cancel()
	}
	first := c.nextCall.Add(1) - 1
	var refused *response
	var failures []error
	maybeExecuted := false
	for i := range c.addresses {
		address := c.addresses[(first+uint64(i))%uint64(len(c.addresses))]
		got, err := c.attempt(ctx, address, call)
		if err == nil && got.status != http.StatusServiceUnavailable {
			got.maybeExecuted = maybeExecuted
			return got, nil
		}
		if err == nil {
			refused = &got
			continue
		}
		failures = append(failures, err)
		if !isDialError(err) {
			maybeExecuted = true
			if !call.repeatable {
				break
			}
		}
		if ctx.Err() != nil {
			break
		}
	}
	if refused != nil {
		refused.maybeExecuted = maybeExecuted
		return *refused, nil
	}
	if maybeExecuted {
		return response{}, endive.ErrUnknown.Wrap(errors.Join(failures...))
	}
	return response{}, ErrUnreachable.Wrap(errors.Join(failures...))
}

// attempt sends a call to one entry, and returns the complete response.
func (c *Client) attempt(ctx context.Context, address endive.Address, call call) (response, error) {
	// net/http doesn't send a request again by itself if it can't rewind the body.
	request, err := http.NewRequestWithContext(ctx, call.method, "http://"+string(address)+call.path, unseekableReader{bytes.NewReader(call.body)})
	if err != nil {
		return response{}, err
	}
	request.ContentLength = int64(len(call.body))
	if len(call.body) == 0 {
		request.Body = http.NoBody
	}
	for name, values := range call.header {
		request.Header[name] = values
	}
	if !call.deadline.IsZero() {
		remaining := endive.Interval(max(call.deadline.Sub(c.clock.Now()), time.Millisecond))
		request.Header.Set(apiv1.HeaderTimeout, remaining.String())
	}
	got, err := c.http.Do(request)
	if err != nil {
		return response{}, err
	}
	defer got.Body.Close()
	body, err := io.ReadAll(io.LimitReader(got.Body, int64(endive.MaxAnswerLimit)+1))
	if err != nil {
		return response{}, err
	}
	if endive.Bytes(len(body)) > endive.MaxAnswerLimit {
		return response{}, endive.ErrUnknown.New("the answer is longer than %d bytes", endive.MaxAnswerLimit)
	}
	return response{status: got.StatusCode, header: got.Header, body: body}, nil
}

// unseekableReader hides the type of a body's reader, so that net/http can't rewind it.
type unseekableReader struct {
	io.Reader
}

// isDialError reports whether err occurred while connecting, before anything was sent.
func isDialError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

// failure returns the error in the response, or nil if its status is below 400.
func (r response) failure() error {
	if r.status < http.StatusBadRequest {
		return nil
	}
	failed := &apiv1.Error{}
	if err := json.Unmarshal(r.body, failed); err != nil || failed.Code == "" {
		return endive.ErrUnknown.New("status %d without a valid error body; is this the address of an entry?", r.status)
	}
	if r.maybeExecuted && (failed.Code == apiv1.CodeUnavailable || failed.Code == apiv1.CodeBusy) {
		return endive.ErrUnknown.New("the answer to an earlier attempt was lost, and the next attempt failed: %s", failed.Message)
	}
	return failed
}

// json sends a call with the value in as its JSON body, or without a body if in
// is nil, and decodes the JSON of the response into out.
func (c *Client) json(ctx context.Context, call call, in, out any) error {
	if in != nil {
		var err error
		if call.body, err = json.Marshal(in); err != nil {
			return endive.ErrInvalid.Wrap(err)
		}
		call.header = http.Header{"Content-Type": {"application/json"}}
	}
	got, err := c.do(ctx, call)
	if err != nil {
		return err
	}
	if err := got.failure(); err != nil {
		return err
	}
	if err := json.Unmarshal(got.body, out); err != nil {
		return endive.ErrUnknown.New("decoding the entry's answer: %w", err)
	}
	return nil
}
