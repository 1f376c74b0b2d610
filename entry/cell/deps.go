package cell

import (
	"github.com/hashicorp/go-hclog"

	"endiveroute.example/endive"
	"endiveroute.example/endive/setup"
)

// RowStore is the platform's store as the cell uses it.
type RowStore interface {
	endive.Table
	endive.RowFeed
}

// Deps is what a Cell is built on.
type Deps struct {
	Settings    setup.CellSettings
	Incarnation endive.Incarnation
	Clock       endive.Clock
	// Platform is the time of the store.
	Platform  endive.PlatformClock
	Log       hclog.Logger
	Counters  *Counters
	Store     *Store
	Directory endive.Directory
	Fleet     endive.Fleet
	Advisor   endive.Advisor
}
