package rest

import (
	"net/http"

	"github.com/zeebo/errs"
)

// checkHeaders returns an error unless the response belongs to ask and its length
// is known and within bounds.
func checkHeaders(request Request, httpResponse *http.Response) error {
	if got := httpResponse.Header.Get(HeaderRequestID); got != string(request.RequestID) {
		return errs.New("the answer belongs to request %q", got)
	}
	if got := httpResponse.Header.Get(HeaderAttemptID); got != "" && got != string(request.AttemptID) {
		return errs.New("the answer belongs to attempt %q", got)
	}
	if httpResponse.ContentLength < 0 {
		return ErrInvalidResponse.New("the answer declares no length")
	}
	if httpResponse.ContentLength > int64(request.MaxResponseBody) {
		return ErrInvalidResponse.New("the answer has %d bytes; at most %d are allowed", httpResponse.ContentLength, request.MaxResponseBody)
	}
	return nil
}
