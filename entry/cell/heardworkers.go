package cell

import (
	"endiveroute.example/endive"
	"endiveroute.example/endive/flow"
)

// reportHeard tells the pools that this entry holds which of their workers have renewed their
// registrations since the list was read before. A reading of the whole list doesn't show that.
func (l *workersLoop) reportHeard(reading listReading) {
	if reading.complete {
		return
	}
	heard := make(map[endive.PoolName][]endive.WorkerID)
	for _, w := range reading.response.Workers {
		heard[w.Pool] = append(heard[w.Pool], w.ID)
	}
	for _, p := range l.cell.allPools() {
		if p.holding.Load() && len(heard[p.name]) > 0 {
			p.sendToFlow(flow.WorkersHeard{Workers: heard[p.name]})
		}
	}
}
