package setup

import "endiveroute.example/endive"

// Platform holds the addresses of the platform's services.
type Platform struct {
	Table     endive.Address `toml:"table" json:"table"`
	Objects   endive.Address `toml:"objects" json:"objects"`
	Instances endive.Address `toml:"instances" json:"instances"`
}

// validate adds a finding for each invalid address.
func (p Platform) validate(f *endive.Findings) {
	validateDialAddress(f, "platform.table", p.Table)
	validateDialAddress(f, "platform.objects", p.Objects)
	validateDialAddress(f, "platform.instances", p.Instances)
}
