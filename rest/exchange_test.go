package rest

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/guard"
)

// TestExchangeHeaders checks that a refusal counts as NotRun only if it names
// the attempt, and that the outcome is unknown after a response to another
// attempt, without a request id or without a length. The simulated workers and
// executors in package stand don't send such responses.
func TestExchangeHeaders(t *testing.T) {
	tests := []struct {
		name    string
		answer  http.HandlerFunc
		unknown bool
		notRun  bool
	}{
		{"a refusal that names the attempt", refuse("request", "attempt"), false, true},
		{"a refusal that names no attempt", refuse("request", ""), false, false},
		{"a refusal of another attempt", refuse("request", "other"), true, false},
		{"no request id", refuse("", "attempt"), true, false},
		{"no length", chunked, true, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			server := httptest.NewServer(tt.answer)
			defer server.Close()
			var settings guard.Settings
			settings.Defaults()
			answer, err := Exchange(t.Context(), guard.NewTransport(settings, endive.SystemClock{}), Request{
				Method:          http.MethodPost,
				Address:         endive.Address(strings.TrimPrefix(server.URL, "http://")),
				Path:            "/",
				RequestID:       "request",
				AttemptID:       "attempt",
				MaxResponseBody: endive.KiB,
			})
			is.Equal(endive.ErrUnknown.Has(err), tt.unknown)
			is.Equal(answer.NotRun, tt.notRun)
		})
	}
}

func refuse(request, attempt string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set(HeaderNotRun, HeaderTrue)
		w.Header().Set(HeaderRequestID, request)
		w.Header().Set(HeaderAttemptID, attempt)
		w.WriteHeader(http.StatusTooManyRequests)
	}
}

func chunked(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(HeaderRequestID, "request")
	_, _ = w.Write([]byte("first"))
	w.(http.Flusher).Flush()
	_, _ = w.Write([]byte("second"))
}
