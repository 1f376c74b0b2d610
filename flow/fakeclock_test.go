package flow

import (
	"time"

	"endiveroute.example/endive"
)

// simulationClock gives the platform's time as milliseconds since the simulation's start.
type simulationClock struct{ start time.Time }

func (simulationClock) Known() bool { return true }
func (c simulationClock) AtLeast(at time.Time) endive.PlatformTime {
	return endive.PlatformTime(at.Sub(c.start).Milliseconds())
}
func (c simulationClock) Earliest(t endive.PlatformTime) time.Time {
	return c.start.Add(time.Duration(t) * time.Millisecond)
}

// drawClockBase draws what the clock of an incarnation shows at its start: zero, or about what the clock of a former one shows,
// or much more.
func (w *simulation) drawClockBase() endive.WorkerTime {
	if !w.faults.randomClocks {
		return 0
	}
	draws := w.drawsOf("clockBase")
	most := []time.Duration{time.Millisecond, time.Minute, time.Hour}[draws.Intn(3)]
	return endive.WorkerTime(draws.Int63n(most.Milliseconds()))
}
