package cell

import "endiveroute.example/endive"

// Zone is an availability zone of a region.
type Zone struct {
	Name   endive.Zone   `toml:"name"`
	Region endive.Region `toml:"region"`
}

// Zones is a list of availability zones.
type Zones []Zone

// regionOf returns the region of a zone, or false if the zone is unknown.
func (z Zones) regionOf(name endive.Zone) (endive.Region, bool) {
	for _, zone := range z {
		if zone.Name == name {
			return zone.Region, true
		}
	}
	return "", false
}

// ZoneCount is the number of workers or executors in a zone.
type ZoneCount struct {
	Zone  endive.Zone `toml:"zone"`
	Count int         `toml:"count"`
}

// ZoneCounts are the numbers of workers of a pool, or of executors of a service,
// by zone.
type ZoneCounts []ZoneCount

func (s ZoneCounts) validate(f *endive.Findings, path listPath, zones Zones) {
	if len(s) == 0 {
		f.Add(path.root(), "is missing")
	}
	for i, zoneCount := range s {
		if _, ok := zones.regionOf(zoneCount.Zone); !ok {
			f.Add(path.field(i, "zone"), "%q is not among the zones", zoneCount.Zone)
		}
		if zoneCount.Count < 1 {
			f.Add(path.field(i, "count"), "is %d; it must be at least 1", zoneCount.Count)
		}
	}
}
