package cell

import (
	"strings"
	"time"
)

// The store keeps its rows in parts, of which some may fail alone. The load: a quarter of
// the parts answers nothing for some seconds. A call that failed while others were answered
// tells of its part only: work whose part is there is stored as ever, and other work is
// refused at once.

// partPause is how long after a failure a part isn't written to. It is as long as callers
// are told to wait.
const partPause = time.Duration(storeReturn)

// storeCall is a call to a part of the store.
type storeCall struct {
	began time.Time
	part  string
}

// partOf returns the part of a row "table/part/key".
func partOf(key string) string {
	_, rest, _ := strings.Cut(key, "/")
	part, _, _ := strings.Cut(rest, "/")
	return part
}

// partHealth tells which parts of the store don't answer. It isn't safe for concurrent use.
type partHealth struct {
	failedAt map[string]time.Time
	// newest is when the newest of the calls that were answered began.
	newest time.Time
}

func newPartHealth() partHealth { return partHealth{failedAt: make(map[string]time.Time)} }

// answered takes in that a call was answered.
func (h *partHealth) answered(call storeCall) {
	delete(h.failedAt, call.part)
	if call.began.After(h.newest) {
		h.newest = call.began
	}
}

// failed takes in that a call wasn't answered, and reports whether that tells of its part
// only.
func (h *partHealth) failed(call storeCall, now time.Time) bool {
	h.failedAt[call.part] = now
	return h.isThere(call)
}

// isThere reports whether a call was answered that began after another.
func (h *partHealth) isThere(call storeCall) bool { return h.newest.After(call.began) }

// usable reports whether a part may be written to.
func (h *partHealth) usable(part string, now time.Time) bool {
	failed, ok := h.failedAt[part]
	return !ok || now.Sub(failed) >= partPause
}
