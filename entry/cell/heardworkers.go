package cell

import (
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/flow"
)

// reportHeard tells the pools that this entry holds which of their workers have renewed their
// registrations since the list was read before, at the time since. A reading of the whole list
// doesn't show that.
func (l *workersLoop) reportHeard(reading listReading, since time.Time) {
	if reading.complete || since.IsZero() {
		return
	}
	heard := make(map[endive.PoolName][]endive.WorkerID)
	for _, w := range reading.response.Workers {
		heard[w.Pool] = append(heard[w.Pool], w.ID)
	}
	for _, p := range l.cell.allPools() {
		if p.holding.Load() && len(heard[p.name]) > 0 {
			p.sendToFlow(flow.WorkersHeard{Workers: heard[p.name], Since: since})
		}
	}
}
