package flow

import (
	"time"

	"endiveroute.example/endive"
)

const (
	// feedWait is how long a holder waits for new rows in one call.
	feedWait = time.Second
	// maxFeedDelay is the longest time for which a feed is late, and maxRowRepeat that until rows are delivered again.
	maxFeedDelay = time.Second
	maxRowRepeat = 2 * time.Second
)

// readFeed tells a holder to which that matters that it knows all rows that were written before the feed's delay.
func (h *holder) readFeed() {
	if h.dead {
		return
	}
	if !h.storeAway && len(h.machine.unreadReports) > 0 && h.sim.now.After(h.feedBlockedUntil) {
		h.step(WorkChanged{Epoch: h.epoch, ReadAt: h.sim.now.Add(-h.feedDelay)})
	}
	h.sim.after(feedWait, h.readFeed)
}

// sendRow sends a row that was just written to the holder, in the order of the writes, at times late and at times again.
func (h *holder) sendRow(row endive.Row) {
	w := h.sim
	changed := WorkChanged{Epoch: h.epoch, Rows: []endive.Row{row}, Revision: endive.Revision(w.version), ReadAt: w.now}
	arrivesAt := endive.Latest(w.now.Add(h.feedDelay), h.feedBlockedUntil)
	if w.strikes("lateRows", w.faults.lateRows) {
		arrivesAt = arrivesAt.Add(w.durationOf("lateRows", maxFeedDelay))
		h.feedBlockedUntil = arrivesAt.Add(time.Millisecond)
	}
	w.after(arrivesAt.Sub(w.now), func() { h.send(changed) })
	if w.strikes("repeatedRows", w.faults.repeatedRows) {
		w.after(arrivesAt.Sub(w.now)+w.durationOf("repeatedRows", maxRowRepeat), func() {
			if w.rows[row.Key].Version == row.Version {
				h.send(changed)
			}
		})
	}
}
