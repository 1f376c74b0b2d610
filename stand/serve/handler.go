package serve

import (
	"context"
	"encoding/json"
	"net/http"
)

// Request is a completely received request to a simulated service.
type Request struct {
	Method string
	// Path is the URL path with escapes decoded.
	Path   string
	Query  string
	Header http.Header
	Body   []byte
}

// Answer is the complete answer to a request.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// Handler is a simulated service. It is safe for concurrent use.
type Handler interface {
	// Handle executes a request and returns the answer; ctx is cancelled when the
	// server stops, but not when the client closes its connection.
	Handle(ctx context.Context, r Request) Answer
}

// JSON returns an answer with a JSON body.
func JSON(status int, value any) Answer {
	body, err := json.Marshal(value)
	if err != nil {
		return Text(http.StatusInternalServerError, err.Error())
	}
	return Answer{Status: status, Body: append(body, '\n')}
}

// Text returns an answer with a plain text body.
func Text(status int, text string) Answer {
	return Answer{Status: status, Body: []byte(text + "\n")}
}
