package main

import (
	"time"

	"endiveroute.example/endive/entry/serve"
	"endiveroute.example/endive/entry/shell"
)

// phaseUpdater sets the gate's phase by the readiness of the entry until it is stopped.
type phaseUpdater struct {
	gate  *serve.Gate
	shell *shell.Shell
	quit  chan struct{}
	done  chan struct{}
}

func newPhaseUpdater(gate *serve.Gate, shell *shell.Shell) *phaseUpdater {
	return &phaseUpdater{gate: gate, shell: shell, quit: make(chan struct{}), done: make(chan struct{})}
}

func (p *phaseUpdater) run() {
	defer close(p.done)
	ticker := time.NewTicker(phaseUpdateInterval)
	defer ticker.Stop()
	for {
		select {
		case <-p.quit:
			return
		case <-ticker.C:
			p.update()
		}
	}
}

func (p *phaseUpdater) update() {
	if p.shell.Ready() {
		p.gate.Set(serve.PhaseServing)
		return
	}
	p.gate.Set(serve.PhaseStarting)
}

// stop ends the loop and waits until it has returned, so that the loop can't overwrite a
// later phase.
func (p *phaseUpdater) stop() {
	close(p.quit)
	<-p.done
}
