package rest

import (
	"time"

	"endiveroute.example/endive"
)

// Request is one HTTP request that is sent at most once.
type Request struct {
	Method  string
	Address endive.Address
	// Path is the path and query on the address.
	Path      string
	RequestID endive.RequestID
	AttemptID endive.AttemptID
	// Service is sent to executors only.
	Service endive.ServiceName
	Region  endive.Region
	// NotAfter is sent to workers only.
	NotAfter string
	Body     []byte
	// IfNoneMatch is the ETag of the answer that is at hand; empty without one.
	IfNoneMatch string
	// MaxResponseBody bounds the answer's body.
	MaxResponseBody endive.Bytes
	// NotBefore is the earliest opening of a connection that may be used.
	NotBefore time.Time
}

// Response is a whole answer to an Ask.
type Response struct {
	Status int
	// NotRun says that the other side refused the request without running it.
	NotRun bool
	// Leaving says that the other side announced its departure.
	Leaving bool
	// Clock is the clock of a worker.
	Clock string
	// ETag names this version of what was asked for; empty without one.
	ETag string
	Body []byte
}
