package endive

import "sort"

// ConfiguredResource is a configured resource with the ticket that set it.
type ConfiguredResource struct {
	Ticket TicketNumber `json:"ticket"`
	// One of these is set.
	Service *Service `json:"service,omitempty"`
	Pool    *Pool    `json:"pool,omitempty"`
	Team    *Team    `json:"team,omitempty"`
	Drain   *Drain   `json:"drain,omitempty"`
}

// Config is the configuration in force: what all tickets together have set.
// It is not changed after it was made, so that machines can share it.
type Config struct {
	// Revision is the newest change that the configuration holds.
	Revision  Revision
	Resources map[ResourceKey]ConfiguredResource
}

// Service returns the named service, unless it is unknown or removed.
func (c Config) Service(name ServiceName) (Service, bool) {
	got := c.Resources[Service{Name: name}.Key()].Service
	if got == nil || got.Removed {
		return Service{}, false
	}
	return *got, true
}

// Pool returns the named pool, unless it is unknown or removed.
func (c Config) Pool(name PoolName) (Pool, bool) {
	got := c.Resources[Pool{Name: name}.Key()].Pool
	if got == nil || got.Removed {
		return Pool{}, false
	}
	return *got, true
}

// Team returns the named team, unless it is unknown or removed.
func (c Config) Team(name TeamName) (Team, bool) {
	got := c.Resources[Team{Name: name}.Key()].Team
	if got == nil || got.Removed {
		return Team{}, false
	}
	return *got, true
}

// Drained reports whether a ticket takes the instance out of use.
func (c Config) Drained(instance string) bool {
	got := c.Resources[Drain{Instance: instance}.Key()].Drain
	return got != nil && !got.Removed
}

// Keys returns the keys of all resources, sorted.
func (c Config) Keys() []ResourceKey {
	keys := make([]ResourceKey, 0, len(c.Resources))
	for key := range c.Resources {
		keys = append(keys, key)
	}
	sort.Slice(keys, func(i, j int) bool { return keys[i] < keys[j] })
	return keys
}
