package serve

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"
)

// writeJSON writes a response with value as its JSON body.
func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		http.Error(w, `{"code":"internal","message":"the response can't be encoded as JSON"}`, http.StatusInternalServerError)
		return
	}
	writeBody(w, status, "application/json", append(body, '\n'))
}

// writeBody writes a response with a complete body. It sets Content-Length, so
// that the client can detect a truncated response.
func writeBody(w http.ResponseWriter, status int, kind string, body []byte) {
	header := w.Header()
	header.Set("Content-Type", kind)
	header.Set("X-Content-Type-Options", "nosniff")
	if status != http.StatusNoContent && status != http.StatusNotModified {
		header.Set("Content-Length", strconv.Itoa(len(body)))
	}
	// The deadline frees the response's memory if the client doesn't read it. The
	// error is ignored: not every ResponseWriter has a connection.
	_ = http.NewResponseController(w).SetWriteDeadline(time.Now().Add(writeTimeout))
	w.WriteHeader(status)
	// The error is ignored: a failed write means that the connection is broken, so
	// the client can't be notified.
	_, _ = w.Write(body)
}
