package cell

import (
	"sync"
	"time"

	"endiveroute.example/endive"
)

const (
	// fateAge is how long after a write without an answer its workflow may still turn out
	// to be stored, at this entry's next answer to its caller.
	fateAge = 30 * time.Second
	// maxFates bounds the workflows that are remembered.
	maxFates = 4096
)

// fates are the workflows that may be stored, since a write of theirs had no answer. The
// load: a part of the store is silent, and callers hand their work in again and again. It
// isn't refused as not run while it may run. It is safe for concurrent use.
type fates struct {
	mu      sync.Mutex
	unknown map[endive.JobID]time.Time
}

// settle takes in what became of a submission, and returns what its caller may be told.
func (f *fates) settle(now time.Time, id endive.JobID, result endive.SubmitResult) endive.SubmitResult {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.unknown == nil {
		f.unknown = make(map[endive.JobID]time.Time)
	}
	at, open := f.unknown[id]
	switch {
	case result.Status == endive.SubmitAccepted:
		delete(f.unknown, id)
	case result.Status == endive.SubmitUnknown:
		f.note(now, id)
	case open && now.Sub(at) < fateAge:
		result.Status = endive.SubmitUnknown
		result.Reason += "; an earlier try may be stored"
	}
	return result
}

// note remembers a workflow, in place of the oldest where there are too many.
func (f *fates) note(now time.Time, id endive.JobID) {
	if _, ok := f.unknown[id]; !ok && len(f.unknown) >= maxFates {
		f.dropOldest()
	}
	f.unknown[id] = now
}

func (f *fates) dropOldest() {
	var oldest endive.JobID
	for id, at := range f.unknown {
		if oldest == "" || at.Before(f.unknown[oldest]) {
			oldest = id
		}
	}
	delete(f.unknown, oldest)
}
