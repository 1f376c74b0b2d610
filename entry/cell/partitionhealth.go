package cell

import (
	"strings"
	"time"
)

// The store keeps its rows in parts, of which some may fail alone. The load: a quarter of
// the parts answers nothing for some seconds. A call that failed while others were answered
// tells of its part only: work whose part is there is stored as ever, and other work is
// refused at once.

// partitionPause is how long after a failure a part isn't written to. It is as long as callers
// are told to wait.
const partitionPause = time.Duration(callerRetryAfter)

// storeCall is a call to a part of the store.
type storeCall struct {
	began     time.Time
	partition string
}

// partitionOf returns the part of a row "table/part/key".
func partitionOf(key string) string {
	_, rest, _ := strings.Cut(key, "/")
	partition, _, _ := strings.Cut(rest, "/")
	return partition
}

// partitionHealth tells which parts of the store don't answer. It isn't safe for concurrent use.
type partitionHealth struct {
	failedAt map[string]time.Time
	// latestAnswered is when the newest of the calls that were answered began.
	latestAnswered time.Time
}

func newPartitionHealth() partitionHealth {
	return partitionHealth{failedAt: make(map[string]time.Time)}
}

// recordAnswer takes in that a call was answered.
func (h *partitionHealth) recordAnswer(call storeCall) {
	delete(h.failedAt, call.partition)
	if call.began.After(h.latestAnswered) {
		h.latestAnswered = call.began
	}
}

// recordFailure takes in that a call wasn't answered, and reports whether that tells of its part
// only.
func (h *partitionHealth) recordFailure(call storeCall, now time.Time) bool {
	h.failedAt[call.partition] = now
	return h.answeredLaterCall(call)
}

// answeredLaterCall reports whether a call was answered that began after another.
func (h *partitionHealth) answeredLaterCall(call storeCall) bool {
	return h.latestAnswered.After(call.began)
}

// writable reports whether a part may be written to.
func (h *partitionHealth) writable(partition string, now time.Time) bool {
	failedAt, ok := h.failedAt[partition]
	return !ok || now.Sub(failedAt) >= partitionPause
}
