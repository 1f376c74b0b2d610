package cell

import (
	"io"

	"github.com/hashicorp/go-hclog"

	"endiveroute.example/endive"
	"endiveroute.example/endive/setup"
)

// RowStore is the part of the platform's store API that the cell uses.
type RowStore interface {
	endive.Table
	endive.RowFeed
}

// Deps are the dependencies and settings of a Cell.
type Deps struct {
	Settings    setup.CellSettings
	Incarnation endive.Incarnation
	Clock       endive.Clock
	// Platform estimates the time of the store's clock.
	Platform endive.PlatformClock
	Log      hclog.Logger
	// LogOutput is the output of Log. It takes whole lines and never blocks.
	LogOutput io.Writer
	// FlushLog writes out all lines of LogOutput.
	FlushLog  func()
	Counters  *Counters
	Store     *Store
	Directory endive.Directory
	Fleet     endive.Fleet
	Advisor   endive.Advisor
}
