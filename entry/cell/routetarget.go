package cell

import "time"

const (
	// unresponsivePause is how long no requests are sent to an entry that didn't respond. It doubles with each
	// trial that fails, up to maxUnresponsivePause.
	unresponsivePause    = 4 * time.Second
	maxUnresponsivePause = 16 * time.Second
)

// routeTarget is the estimated state of one entry's advice queue.
type routeTarget struct {
	busyUntil time.Time
	skipUntil time.Time
	// silentAt is when the entry was last found not to respond. silences counts how often in a row that was.
	silentAt time.Time
	silences int
	// otherRegion is true if the entry is in another region than this one.
	otherRegion bool
}

// recordSent records that a request is sent to the entry. If the entry didn't respond before, the request is a
// trial: no other is sent meanwhile.
func (t *routeTarget) recordSent(dueAt time.Time) {
	if t.silences > 0 {
		t.skipUntil = dueAt
	}
}

// recordSilence records that the entry didn't respond to a request. Those that were sent before that was known
// count as one.
func (t *routeTarget) recordSilence(sentAt, now time.Time) {
	if !sentAt.After(t.silentAt) {
		return
	}
	t.silentAt, t.skipUntil = now, now.Add(pauseAfter(t.silences))
	t.silences++
}

// pauseAfter returns how long an entry gets no requests once it doesn't respond, after a number of silences before.
func pauseAfter(silences int) time.Duration {
	pause := unresponsivePause
	for range silences {
		pause = min(2*pause, maxUnresponsivePause)
	}
	return pause
}

// recordResponse records that the entry has responded to a request. The response to one that was sent
// before the entry was found not to respond doesn't end the pause.
func (t *routeTarget) recordResponse(sentAt time.Time) {
	if t.silences > 0 && sentAt.After(t.silentAt) {
		t.skipUntil, t.silences = time.Time{}, 0
	}
}
