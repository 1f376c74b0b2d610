package apiv1

// Headers of requests and responses.
const (
	// HeaderTimeout is the remaining time, such as "800ms". It isn't a point in time
	// because the clocks of two machines are never compared.
	HeaderTimeout = "Endive-Timeout"
	// HeaderKey is the idempotency key. It isn't called Idempotency-Key because
	// net/http retries requests with that header by itself.
	HeaderKey = "Endive-Key"
	// HeaderNonIdempotent is "true" for a request that must run at most once.
	HeaderNonIdempotent = "Endive-Non-Idempotent"
	// HeaderOutcome is the Outcome of a request.
	HeaderOutcome = "Endive-Outcome"
	// HeaderReason is the reason why a request wasn't answered.
	HeaderReason = "Endive-Reason"
	// HeaderRequest is the id that the entry assigned to the request.
	HeaderRequest = "Endive-Request"
	// HeaderScope is "attempt" if the outcome notRun holds for this attempt only: an
	// earlier request with the same key may have been run.
	HeaderScope = "Endive-Scope"
	// HeaderRepeated is "true" if the answer was recorded for an earlier request with
	// the same key.
	HeaderRepeated = "Endive-Repeated"
	// HeaderRetryAfter is the standard header, in whole seconds.
	HeaderRetryAfter = "Retry-After"
)

// ScopeAttempt is the only value of HeaderScope.
const ScopeAttempt = "attempt"
