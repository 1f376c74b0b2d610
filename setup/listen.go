package setup

import (
	"net/netip"

	"endiveroute.example/endive"
)

// Listen holds the addresses that an entry listens on. With port 0, the operating
// system chooses a free port.
type Listen struct {
	// Callers is for clients that send requests and jobs.
	Callers endive.Address `toml:"callers" json:"callers"`
	// Operators is for the operator API: tickets, jobs and state.
	Operators endive.Address `toml:"operators" json:"operators"`
	// Peers is for connections from the other entries.
	Peers endive.Address `toml:"peers" json:"peers"`
	// Health is for the load balancer's health checks and for metrics.
	Health endive.Address `toml:"health" json:"health"`
}

// validate adds a finding for each address that is invalid or used twice.
func (l Listen) validate(f *endive.Findings) {
	listeners := []struct {
		path    string
		address endive.Address
	}{
		{"listen.callers", l.Callers},
		{"listen.operators", l.Operators},
		{"listen.peers", l.Peers},
		{"listen.health", l.Health},
	}
	pathByAddress := make(map[endive.Address]string)
	for _, one := range listeners {
		port, ok := validateAddress(f, one.path, one.address)
		if !ok || port == 0 {
			continue
		}
		if first, used := pathByAddress[one.address]; used {
			f.Add(one.path, "is %s, but %s already listens on it", one.address, first)
		}
		pathByAddress[one.address] = one.path
	}
}

// validateAddress adds a finding unless address is an IP address with a port. It
// returns the port, and whether address is valid.
func validateAddress(f *endive.Findings, path string, address endive.Address) (uint16, bool) {
	if address == "" {
		f.Add(path, `is missing; write it like "10.0.0.7:8101"`)
		return 0, false
	}
	parsed, err := netip.ParseAddrPort(string(address))
	if err != nil {
		f.Add(path, `is %q; write an IP address with a port, like "10.0.0.7:8101"`, address)
		return 0, false
	}
	return parsed.Port(), true
}

// validateDialAddress adds a finding unless address is valid for outgoing connections,
// which need a port other than 0.
func validateDialAddress(f *endive.Findings, path string, address endive.Address) {
	if port, ok := validateAddress(f, path, address); ok && port == 0 {
		f.Add(path, "is %s; a port to connect to must not be 0", address)
	}
}
