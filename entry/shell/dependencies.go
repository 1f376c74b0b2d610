package shell

import (
	"github.com/hashicorp/go-hclog"
	"github.com/uber-go/tally/v4"

	"endiveroute.example/endive"
	"endiveroute.example/endive/setup"
	"endiveroute.example/endive/store"
)

// Deps holds the dependencies of a Shell.
type Deps struct {
	Settings    setup.Settings
	Incarnation endive.Incarnation
	// PeerAddress is the address on which connections of peers are accepted.
	PeerAddress endive.Address
	Clock       endive.Clock
	Log         hclog.Logger
	Scope       tally.Scope
	Store       *store.Client
	Objects     endive.Objects
	Instances   endive.Instances
	Workers     endive.Workers
	Executors   endive.Executors
}
