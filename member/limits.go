package member

import "time"

const (
	// suspectAfter is how long a live peer may be silent.
	suspectAfter = 3 * time.Second
	// goneAfter is how long a suspect peer may be silent. After it, a peer counts
	// as gone, even while the list still shows it.
	goneAfter = 15 * time.Second
	// removeAfter is how long a gone peer that isn't configured or listed is kept.
	removeAfter = 2 * time.Minute
	// listTimeout is how long an answer to a reading may take.
	listTimeout = 5 * time.Second
	// noticeLifetime is how long a sign of leaving counts while the instance list
	// shows the endpoint as live. It lies far above the list's lag.
	noticeLifetime = 10 * time.Minute
	// unlistedGoneAfter is how long an endpoint that the list lacks stays suspect
	// before it counts as gone.
	unlistedGoneAfter = 5 * time.Second
	// maxEchoLag is how many heartbeats the echo of a live peer may lag.
	maxEchoLag = 4
	// noticeInterval lies between two heartbeats that repeat the signs. A new sign is
	// sent at once.
	noticeInterval = time.Second
	// maxNotices bounds the signs in a heartbeat.
	maxNotices = 256
	// maxWakeDelay is how late a wake-up comes where the process was paused.
	maxWakeDelay = time.Second
)
