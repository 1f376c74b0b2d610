package rest

import (
	"context"
	"io"
	"net/http"
	"strings"

	"github.com/zeebo/errs"

	"endiveroute.example/endive"
	"endiveroute.example/endive/guard"
)

// maxStaleConnections is the maximum number of pooled connections that one exchange
// rejects because they were opened before Request.NotBefore.
const maxStaleConnections = 256

// ErrInvalidResponse is the class of errors where a response belongs to its
// request but is incomplete, too long or has no length. Such an error means
// that the server has finished the request.
var ErrInvalidResponse = errs.Class("invalid response")

// Exchange sends a request and returns the complete response. The error is of
// class ErrUnavailable if no byte was sent and none will be sent, or else of
// class ErrUnknown, which may wrap ErrInvalidResponse.
func Exchange(ctx context.Context, transport http.RoundTripper, request Request) (Response, error) {
	for try := 0; ; try++ {
		attempt := guard.NewAttempt(request.NotBefore)
		response, err := exchangeOnce(attempt.Context(ctx), transport, request)
		if err == nil {
			return response, nil
		}
		if attempt.End() {
			return Response{}, endive.ErrUnknown.New("Exchange: %s%s: %w", request.Address, request.Path, err)
		}
		if !attempt.Stale() || try == maxStaleConnections || ctx.Err() != nil {
			return Response{}, endive.ErrUnavailable.New("Exchange: %s%s: %w", request.Address, request.Path, err)
		}
	}
}

func exchangeOnce(ctx context.Context, transport http.RoundTripper, request Request) (Response, error) {
	httpRequest, err := newHTTPRequest(ctx, request)
	if err != nil {
		return Response{}, err
	}
	httpResponse, err := transport.RoundTrip(httpRequest)
	if err != nil {
		return Response{}, err
	}
	defer httpResponse.Body.Close()
	if err := checkHeaders(request, httpResponse); err != nil {
		return Response{}, err
	}
	body := make([]byte, httpResponse.ContentLength)
	if _, err := io.ReadFull(httpResponse.Body, body); err != nil {
		return Response{}, ErrInvalidResponse.Wrap(err)
	}
	return Response{
		Status:  httpResponse.StatusCode,
		NotRun:  notRun(request, httpResponse),
		Leaving: httpResponse.Header.Get(HeaderLeaving) == HeaderTrue,
		ETag:    httpResponse.Header.Get(HeaderETag),
		Clock:   httpResponse.Header.Get(HeaderClock),
		Body:    body,
	}, nil
}

// newHTTPRequest builds the HTTP request. The request's body can't be rewound
// (GetBody is nil), so that net/http can't send it again.
func newHTTPRequest(ctx context.Context, request Request) (*http.Request, error) {
	url := "http://" + string(request.Address) + request.Path
	httpRequest, err := http.NewRequestWithContext(ctx, request.Method, url, io.NopCloser(strings.NewReader(string(request.Body))))
	if err != nil {
		return nil, err
	}
	httpRequest.ContentLength = int64(len(request.Body))
	if len(request.Body) == 0 {
		httpRequest.Body = http.NoBody
	}
	setHeaders(httpRequest.Header, request)
	return httpRequest, nil
}

// setHeaders sets the headers of the request that aren't empty.
func setHeaders(header http.Header, request Request) {
	values := []struct{ name, value string }{
		{HeaderRequestID, string(request.RequestID)},
		{HeaderAttemptID, string(request.AttemptID)},
		{HeaderService, string(request.Service)},
		{HeaderRegion, string(request.Region)},
		{HeaderNotAfter, request.NotAfter},
		{HeaderIfNoneMatch, request.IfNoneMatch},
	}
	for _, one := range values {
		if one.value != "" {
			header.Set(one.name, one.value)
		}
	}
}

// notRun reports whether the server refused this attempt. A refusal that
// doesn't name the attempt is ignored: the refusal may repeat the response to
// an earlier attempt.
func notRun(request Request, httpResponse *http.Response) bool {
	refused := httpResponse.StatusCode == http.StatusTooManyRequests ||
		httpResponse.StatusCode == http.StatusServiceUnavailable
	return refused && httpResponse.Header.Get(HeaderNotRun) == HeaderTrue &&
		httpResponse.Header.Get(HeaderAttemptID) == string(request.AttemptID)
}
