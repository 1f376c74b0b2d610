package apiv1

import (
	"net/url"
	"strconv"

	"endiveroute.example/endive"
)

// Paths of the HTTP interface, with the wildcards of net/http's patterns in braces.
const (
	PathRequests      = "/v1/services/{service}/requests"
	PathOutcome       = "/v1/services/{service}/outcomes/{key}"
	PathTickets       = "/v1/tickets"
	PathTicket        = "/v1/tickets/{number}"
	PathConfig        = "/v1/config"
	PathJobs          = "/v1/jobs"
	PathJob           = "/v1/jobs/{job}"
	PathCancellations = "/v1/cancellations"
	PathEntries       = "/v1/entries"
	PathInstances     = "/v1/instances"
	PathWorkers       = "/v1/workers"
	PathSlices        = "/v1/slices"
	PathSlots         = "/v1/slots"
	PathHealth        = "/healthz"
	PathReady         = "/readyz"
	PathMetrics       = "/metrics"
)

// RequestsPath returns the path to which requests to a service are sent.
func RequestsPath(service endive.ServiceName) string {
	return "/v1/services/" + url.PathEscape(string(service)) + "/requests"
}

// OutcomePath returns the path of the outcome recorded with an idempotency key.
func OutcomePath(service endive.ServiceName, key endive.IdempotencyKey) string {
	return "/v1/services/" + url.PathEscape(string(service)) + "/outcomes/" + url.PathEscape(string(key))
}

// TicketPath returns the path of a ticket.
func TicketPath(number endive.TicketNumber) string {
	return PathTickets + "/" + strconv.FormatUint(uint64(number), 10)
}

// JobPath returns the path of a job.
func JobPath(job endive.JobID) string { return PathJobs + "/" + url.PathEscape(string(job)) }
