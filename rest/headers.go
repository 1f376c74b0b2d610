package rest

import "endiveroute.example/endive"

// Headers of requests and responses.
const (
	// HeaderRequestID identifies the request; the response repeats it.
	HeaderRequestID = "Endive-Request-Id"
	// HeaderAttemptID identifies the attempt; the response repeats it.
	HeaderAttemptID = "Endive-Attempt-Id"
	// HeaderService is the name of the requested service; it is sent to executors only.
	HeaderService = "Endive-Service"
	// HeaderRegion is the region of the entry that sends the request.
	HeaderRegion = "Endive-Region"
	// HeaderNotRun is "true" on a refusal: the request was not run.
	HeaderNotRun = "Endive-Not-Run"
	// HeaderClock is the time on a worker's clock, as "run:milliseconds".
	HeaderClock = "Endive-Worker-Clock"
	// HeaderNotAfter is the time on the worker's clock from which on it refuses the
	// command, as "run:milliseconds".
	HeaderNotAfter = "Endive-Not-After"
	// HeaderETag and HeaderIfNoneMatch are the standard headers of conditional
	// requests.
	HeaderETag        = "ETag"
	HeaderIfNoneMatch = "If-None-Match"
	// HeaderLeaving is "true" while the executor is about to shut down.
	HeaderLeaving = "Endive-Leaving"
)

// HeaderTrue is the value of the boolean headers when they are set.
const HeaderTrue = "true"

// MaxPlatformResponse is the maximum length of a response from the platform or a worker.
const MaxPlatformResponse = 64 * endive.MiB
