package cell

import (
	"fmt"

	"endiveroute.example/endive"
	"endiveroute.example/endive/stand/fault"
	"endiveroute.example/endive/stand/rows"
)

// Cell describes all simulated services, workers and executors of one cell.
type Cell struct {
	// Seed seeds all random numbers.
	Seed uint64 `toml:"seed"`
	// Region is the region of the platform services.
	Region   endive.Region `toml:"region"`
	Table    rows.Settings `toml:"table"`
	Zones    Zones         `toml:"zones"`
	Services Services      `toml:"services"`
	Pools    Pools         `toml:"pools"`
	Entries  Entries       `toml:"entries"`
	// Faults are the faults that are switched on at the start.
	Faults fault.Faults `toml:"faults"`
}

// Defaults sets the fields that were left out to their defaults.
func (c *Cell) Defaults() {
	c.Table.Defaults()
	c.Services.defaults()
	c.Pools.defaults()
}

// Validate returns all mistakes in c.
func (c Cell) Validate() endive.Findings {
	var f endive.Findings
	if len(c.Zones) == 0 {
		f.Add("zones", "is missing")
	}
	regionFound := false
	for i, zone := range c.Zones {
		if zone.Name == "" || zone.Region == "" {
			f.Add(fmt.Sprintf("zones[%d]", i), "needs a name and a region")
		}
		regionFound = regionFound || zone.Region == c.Region
	}
	if !regionFound {
		f.Add("region", "%q is not the region of any zone", c.Region)
	}
	c.Services.validate(&f, c.Zones)
	c.Pools.validate(&f, c.Zones)
	c.Entries.validate(&f, c.Zones)
	for i, injected := range c.Faults {
		injected.Validate(&f, fmt.Sprintf("faults[%d].", i))
	}
	c.validateIDs(&f)
	return f
}

// validateIDs adds a finding for each id that is used more than once.
func (c Cell) validateIDs(f *endive.Findings) {
	seen := make(map[string]bool)
	for _, i := range c.Instances() {
		if seen[i.ID] {
			f.Add("instances", "several instances have the id %q", i.ID)
		}
		seen[i.ID] = true
	}
}
