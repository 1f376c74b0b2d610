package rest

import (
	"time"

	"endiveroute.example/endive"
)

// Request is an HTTP request that is sent at most once.
type Request struct {
	Method  string
	Address endive.Address
	// Path is the path and query of the URL.
	Path      string
	RequestID endive.RequestID
	AttemptID endive.AttemptID
	// Service is sent to executors only.
	Service endive.ServiceName
	Region  endive.Region
	// NotAfter is sent to workers only.
	NotAfter string
	Body     []byte
	// IfNoneMatch is the ETag of the version that the client already has; empty if it has none.
	IfNoneMatch string
	// MaxResponseBody is the maximum length of the response's body.
	MaxResponseBody endive.Bytes
	// NotBefore excludes connections that were opened before this time.
	NotBefore time.Time
}

// Response is the complete response to a Request.
type Response struct {
	Status int
	// NotRun reports whether the server refused the request without running it.
	NotRun bool
	// Leaving reports whether the server announced that it is about to shut down.
	Leaving bool
	// Clock is the value of HeaderClock, which workers send.
	Clock string
	// ETag identifies the version of the returned resource; empty if it has none.
	ETag string
	Body []byte
}
