package speed

import "endiveroute.example/endive"

// Equal takes all workers as equally fast. It implements endive.WorkerSpeeds.
type Equal struct{}

// Record implements endive.WorkerSpeeds.
func (Equal) Record([]endive.TimedRun) {}

// Factor implements endive.WorkerSpeeds.
func (Equal) Factor(endive.FleetWorker) float64 { return 1 }
