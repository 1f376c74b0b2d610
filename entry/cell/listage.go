package cell

import (
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/flow"
	"endiveroute.example/endive/setup"
)

// A worker's capacity may shrink while it runs. Until the holder has read that, it starts too much
// there, which is tolerated for a limited time. So a holder starts tasks by a list of workers only
// while the list isn't too old. After an outage of the store the list may have registrations from
// before it: then a worker gets tasks once it has renewed its registration.

// listReading is one reading of the list of workers.
type listReading struct {
	response endive.WorkersResponse
	// complete is true if the response has the whole list instead of the changes.
	complete bool
	// startedAt is when the reading began.
	startedAt time.Time
}

// listAge tracks how current the list of workers is.
type listAge struct {
	// readAt is when the last reading began after which the list was complete.
	readAt time.Time
	// outageEnd is the end of the newest outage of the store that was handled.
	outageEnd time.Time
	// unconfirmed are the workers that may not have renewed their registrations since then.
	unconfirmed map[endive.WorkerID]bool
	// reported is true if the log says that the list is outdated.
	reported bool
}

// updateAge records a reading of the list, and reports whether it changed which workers are
// unconfirmed. The caller holds the lock.
func (l *workersLoop) updateAge(reading listReading) bool {
	if !reading.response.More {
		l.age.readAt = endive.Latest(l.age.readAt, reading.startedAt)
	}
	before := len(l.age.unconfirmed)
	began, ended := l.cell.Store.lastOutage()
	switch {
	case ended.After(l.age.outageEnd):
		l.age.outageEnd = ended
		if ended.Sub(began) > time.Duration(l.cell.Settings.Bounds.MaxListAge-l.cell.Settings.Bounds.Heartbeat) {
			l.distrustAll()
		}
	case !reading.complete:
		for _, w := range reading.response.Workers {
			delete(l.age.unconfirmed, w.ID)
		}
	}
	if reading.startedAt.After(ended.Add(reregisterGrace)) {
		l.age.unconfirmed = nil
	}
	return len(l.age.unconfirmed) != before
}

// distrustAll marks all workers as unconfirmed. The caller holds the lock.
func (l *workersLoop) distrustAll() {
	l.age.unconfirmed = make(map[endive.WorkerID]bool, len(l.workers))
	for id := range l.workers {
		l.age.unconfirmed[id] = true
	}
}

// startsUntil returns until when tasks may be started by the list. The caller holds the lock.
func (l *workersLoop) startsUntil() time.Time {
	return l.age.readAt.Add(time.Duration(l.cell.Settings.Bounds.MaxListAge - setup.OrderTransit))
}

// reportAge logs when the list of a holder becomes outdated, and when it is current again.
func (l *workersLoop) reportAge() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.cell.HoldsNoPool() {
		l.age.reported = false
		return
	}
	now := l.cell.Clock.Now()
	outdated := l.ready && !now.Before(l.startsUntil())
	if outdated == l.age.reported {
		return
	}
	l.age.reported = outdated
	if outdated {
		l.cell.Log.Warn("the list of workers is outdated, nothing is started", "ageMillis", millisSince(now, l.age.readAt))
	} else {
		l.cell.Log.Info("the list of workers is current again")
	}
}

// confirmAll tells the pools that this entry holds that the list was read again without a change.
func (l *workersLoop) confirmAll() {
	l.publishing.Lock()
	defer l.publishing.Unlock()
	l.mu.Lock()
	confirmed := flow.WorkersConfirmed{StartsUntil: l.startsUntil()}
	l.mu.Unlock()
	for _, p := range l.cell.allPools() {
		if p.holding.Load() {
			p.sendToFlow(confirmed)
		}
	}
}
