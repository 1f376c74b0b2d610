package serve

import (
	hclog "github.com/hashicorp/go-hclog"
	tally "github.com/uber-go/tally/v4"

	"endiveroute.example/endive"
	"endiveroute.example/endive/setup"
)

// Config holds the dependencies of a Server. All fields are required.
type Config struct {
	// Entry and Incarnation are part of each request's id.
	Entry       endive.EntryID
	Incarnation endive.Incarnation
	Backend     Backend
	Clock       endive.Clock
	Logger      hclog.Logger
	Scope       tally.Scope
	Limits      setup.Limits
	// Gate holds the entry's phase, which decides whether it accepts work.
	Gate *Gate
}
