package cell

import (
	"net/netip"

	"endiveroute.example/endive"
)

// Entry describes an entry instance on the instance list.
type Entry struct {
	ID endive.EntryID `toml:"id"`
	// Address is the address at which other entries reach this one.
	Address endive.Address `toml:"address"`
	Zone    endive.Zone    `toml:"zone"`
}

// Entries is a list of entry instances.
type Entries []Entry

func (e Entries) validate(f *endive.Findings, zones Zones) {
	const path = listPath("entries")
	for i, entry := range e {
		if entry.ID == "" {
			f.Add(path.field(i, "id"), "is missing")
		}
		if _, err := netip.ParseAddrPort(string(entry.Address)); err != nil {
			f.Add(path.field(i, "address"), "%q is not an IP address with a port", entry.Address)
		}
		if _, ok := zones.regionOf(entry.Zone); !ok {
			f.Add(path.field(i, "zone"), "%q is not among the zones", entry.Zone)
		}
	}
}
