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

// drawClock draws the clock of the worker's incarnation: whether it has the lowest rate, and what it shows at the start, which is
// zero, or about what the clock of a former one shows, or much more.
func (f *fakeWorker) drawClock() {
	f.clockBase = 0
	if f.sim.faults.slowClock > 0 {
		f.slowClock = f.sim.strikes("slowClock", f.sim.faults.slowClock)
	}
	if f.sim.faults.randomClocks {
		f.sim.drawn["randomClocks"]++
		draws := f.sim.drawsOf("clockBase")
		most := []time.Duration{time.Millisecond, time.Minute, time.Hour}[draws.Intn(3)]
		f.clockBase = endive.WorkerTime(draws.Int63n(most.Milliseconds()))
	}
}
