package serve

import "sync/atomic"

// Phase is a stage between an entry's start and stop.
type Phase string

// The phases, in their order.
const (
	// PhaseStarting refuses work: the entry has not yet read the configuration.
	PhaseStarting Phase = "starting"
	// PhaseServing accepts work.
	PhaseServing Phase = "serving"
	// PhaseLeaving still accepts work while the load balancer moves clients to
	// other entries: the readiness check fails, and connections are closed after
	// each answer.
	PhaseLeaving Phase = "leaving"
	// PhaseStopping refuses new work and finishes the calls in flight.
	PhaseStopping Phase = "stopping"
)

// Gate holds the phase of an entry. It is safe for concurrent use.
type Gate struct {
	phase atomic.Value
}

// NewGate returns a Gate in PhaseStarting.
func NewGate() *Gate {
	g := &Gate{}
	g.phase.Store(PhaseStarting)
	return g
}

// Set changes the phase. An entry that is no longer ready goes back to PhaseStarting.
func (g *Gate) Set(phase Phase) { g.phase.Store(phase) }

// Phase returns the phase.
func (g *Gate) Phase() Phase { return g.phase.Load().(Phase) }

// Open reports whether the entry accepts new work.
func (g *Gate) Open() bool {
	phase := g.Phase()
	return phase == PhaseServing || phase == PhaseLeaving
}
