package flow

import (
	"sort"
	"time"

	"endiveroute.example/endive"
)

// maxStaleness is the longest time from the reading of a list of workers until a holder gets it.
const maxStaleness = 3 * time.Second

// publishWorkers sends the list of workers to the holders.
func (w *simulation) publishWorkers() {
	w.listed = nil
	for _, worker := range w.workers {
		if !worker.unlisted {
			w.listed = append(w.listed, worker.info)
		}
	}
	sort.Slice(w.listed, func(i, j int) bool { return w.listed[i].ID < w.listed[j].ID })
	w.sendLists()
}

// sendLists sends the list of workers to the holders that can read it.
func (w *simulation) sendLists() {
	for _, h := range w.holders {
		if !w.now.Before(h.noListUntil) {
			h.sendList(w.workersListed())
		}
	}
}

// sendList sends a list to the holder, at times late. A holder reads one list after the other, so a newer one arrives later.
func (h *holder) sendList(event WorkersListed) {
	w := h.sim
	arrivesAt := w.now.Add(time.Millisecond)
	if w.strikes("staleList", w.faults.staleList) {
		arrivesAt = arrivesAt.Add(w.durationOf("staleList", maxStaleness))
	}
	h.lastListAt = endive.Latest(h.lastListAt, arrivesAt)
	w.after(h.lastListAt.Sub(w.now), func() {
		h.step(event)
		w.markListed(h, event.Workers)
	})
}

// workersListed returns the event with the list of workers.
func (w *simulation) workersListed() WorkersListed {
	event := WorkersListed{Workers: append([]endive.FleetWorker(nil), w.listed...)}
	if w.pollsLists {
		event.StartsUntil = w.now.Add(testListLifetime)
	}
	return event
}
