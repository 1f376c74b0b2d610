package main

import (
	"os"

	"github.com/hashicorp/go-hclog"
)

// secondSignal ends the process at once if another signal arrives during a graceful stop.
type secondSignal struct {
	signals chan os.Signal
	log     hclog.Logger
}

func (s *secondSignal) run() {
	<-s.signals
	s.log.Warn("second signal received; exiting immediately")
	os.Exit(exitFailed)
}
