package rest

import (
	"net/http"

	"github.com/zeebo/errs"
)

// checkHeaders returns an error unless the response belongs to the request, and
// the length of its body is declared and at most MaxResponseBody.
func checkHeaders(request Request, httpResponse *http.Response) error {
	if got := httpResponse.Header.Get(HeaderRequestID); got != string(request.RequestID) {
		return errs.New("the response belongs to request %q", got)
	}
	if got := httpResponse.Header.Get(HeaderAttemptID); got != "" && got != string(request.AttemptID) {
		return errs.New("the response belongs to attempt %q", got)
	}
	if httpResponse.ContentLength < 0 {
		return ErrInvalidResponse.New("the response declares no length")
	}
	if httpResponse.ContentLength > int64(request.MaxResponseBody) {
		return ErrInvalidResponse.New("the response has %d bytes; at most %d are allowed", httpResponse.ContentLength, request.MaxResponseBody)
	}
	return nil
}
