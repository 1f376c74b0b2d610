package rest

import "endiveroute.example/endive"

// Headers of an exchange.
const (
	// HeaderRequestID names the request; the answer repeats it.
	HeaderRequestID = "Endive-Request-Id"
	// HeaderAttemptID names the attempt; the answer repeats it.
	HeaderAttemptID = "Endive-Attempt-Id"
	// HeaderService names the service that an executor is asked for.
	HeaderService = "Endive-Service"
	// HeaderRegion is the caller's region.
	HeaderRegion = "Endive-Region"
	// HeaderNotRun is "true" on a refusal: the request was not run.
	HeaderNotRun = "Endive-Not-Run"
	// HeaderClock is a worker's clock, as "run:milliseconds".
	HeaderClock = "Endive-Worker-Clock"
	// HeaderNotAfter is the time on a worker's clock after which it refuses the
	// command, as "run:milliseconds".
	HeaderNotAfter = "Endive-Not-After"
	// HeaderETag and HeaderIfNoneMatch are the standard headers of conditional
	// requests.
	HeaderETag        = "ETag"
	HeaderIfNoneMatch = "If-None-Match"
	// HeaderLeaving is "true" while the executor is about to leave.
	HeaderLeaving = "Endive-Leaving"
)

// HeaderTrue is the value of a header that is set.
const HeaderTrue = "true"

// MaxPlatformResponse bounds an answer of the platform or of a worker.
const MaxPlatformResponse = 64 * endive.MiB
