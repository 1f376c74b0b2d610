package cell

import (
	"strings"
	"time"
)

// The store keeps its rows in partitions, which may fail independently, for example when a
// quarter of the partitions doesn't answer for some seconds. If a call fails and the store
// has answered a later one, only the partition of the failed call counts as unavailable: work
// in other partitions is stored as usual, and work in this partition is refused at once.

// partitionPause is how long no new work is written to a partition after a failure. It equals
// the retry delay sent to clients.
const partitionPause = time.Duration(callerRetryAfter)

// storeCall is a call to one partition of the store.
type storeCall struct {
	startedAt time.Time
	partition string
	// answeredAt is when the first bytes of the response were received, and receivedAt when
	// the latest were; zero before.
	answeredAt time.Time
	receivedAt time.Time
}

// partitionOf returns the partition of a row key of the form "table/partition/key".
func partitionOf(key string) string {
	_, rest, _ := strings.Cut(key, "/")
	partition, _, _ := strings.Cut(rest, "/")
	return partition
}

// partitionHealth tracks which partitions of the store failed. It isn't safe for concurrent use.
type partitionHealth struct {
	failedAt map[string]time.Time
	// latestAnswered is the latest start time of the calls that were answered.
	latestAnswered time.Time
}

func newPartitionHealth() partitionHealth {
	return partitionHealth{failedAt: make(map[string]time.Time)}
}

// recordAnswer clears the failure of a call's partition.
func (h *partitionHealth) recordAnswer(call storeCall) {
	delete(h.failedAt, call.partition)
	if call.startedAt.After(h.latestAnswered) {
		h.latestAnswered = call.startedAt
	}
}

// recordFailure records a failed call, and reports whether the failure affects its partition
// only, since the store answered a later call.
func (h *partitionHealth) recordFailure(call storeCall, now time.Time) bool {
	h.failedAt[call.partition] = now
	return h.answeredLaterCall(call)
}

// answeredLaterCall reports whether the store answered a call that began after the given one.
func (h *partitionHealth) answeredLaterCall(call storeCall) bool {
	return h.latestAnswered.After(call.startedAt)
}

// writable reports whether no call to a partition has failed within partitionPause.
func (h *partitionHealth) writable(partition string, now time.Time) bool {
	failedAt, ok := h.failedAt[partition]
	return !ok || now.Sub(failedAt) >= partitionPause
}
