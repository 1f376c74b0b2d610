package member

import "time"

const (
	// suspectAfter is the time without a heartbeat after which a live peer becomes suspect.
	suspectAfter = 3 * time.Second
	// goneAfter is the time without a heartbeat after which a peer is considered gone, even if
	// the instance list still contains it.
	goneAfter = 15 * time.Second
	// removeAfter is the time after which a silent peer is removed if neither the settings nor
	// the instance list contain it, and a gone endpoint is removed.
	removeAfter = 2 * time.Minute
	// listTimeout is the time after which an unanswered read of the instance list is repeated.
	listTimeout = 5 * time.Second
	// noticeLifetime is how long a leave notice is valid if the instance list still shows the
	// endpoint as live. It is far longer than the lag of the list.
	noticeLifetime = 10 * time.Minute
	// unlistedGoneAfter is how long an endpoint that is missing from the instance list stays
	// suspect before it is considered gone.
	unlistedGoneAfter = 5 * time.Second
	// maxEchoLag is the number of heartbeats by which the echo of a live peer may lag.
	maxEchoLag = 4
	// noticeInterval is the interval between heartbeats that repeat all leave notices. A new
	// notice is sent at once.
	noticeInterval = time.Second
	// maxNotices is the maximum number of leave notices in a heartbeat.
	maxNotices = 256
	// maxWakeDelay is the delay of a wake-up from which the process is assumed to have been
	// paused.
	maxWakeDelay = time.Second
)
