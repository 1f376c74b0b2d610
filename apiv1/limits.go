package apiv1

import "endiveroute.example/endive"

// Limits of requests to an entry.
const (
	// MaxBody is the maximum size of the body of a request to a service.
	MaxBody = 1 * endive.MiB
	// MaxTicketBody is the maximum size of a ticket's JSON.
	MaxTicketBody = 512 * endive.KiB
	// MaxJobBody is the maximum size of a job's JSON.
	MaxJobBody = 512 * endive.KiB
	// MaxHeaders is the maximum total size of a request's headers.
	MaxHeaders = 16 * endive.KiB
	// MaxList is the maximum number of jobs in one answer; DefaultList is the number
	// for a query without a limit.
	MaxList     = 1000
	DefaultList = 100
	// MaxID is the maximum length of an id that an entry assigns, in bytes.
	MaxID = 256
)
