package endive

import "sort"

// ConfiguredResource is the state of a resource and the ticket that set it.
type ConfiguredResource struct {
	Ticket TicketNumber `json:"ticket"`
	// Exactly one of the following fields is set.
	Service *Service `json:"service,omitempty"`
	Pool    *Pool    `json:"pool,omitempty"`
	Team    *Team    `json:"team,omitempty"`
	Drain   *Drain   `json:"drain,omitempty"`
}

// Config is the active configuration, the result of applying all tickets. It is
// immutable, so that several machines can share it.
type Config struct {
	// Revision is the revision of the newest change that the configuration includes.
	Revision  Revision
	Resources map[ResourceKey]ConfiguredResource
}

// Service returns the named service. It returns false if the service is unknown or
// removed.
func (c Config) Service(name ServiceName) (Service, bool) {
	service := c.Resources[Service{Name: name}.Key()].Service
	if service == nil || service.Removed {
		return Service{}, false
	}
	return *service, true
}

// Pool returns the named pool. It returns false if the pool is unknown or removed.
func (c Config) Pool(name PoolName) (Pool, bool) {
	pool := c.Resources[Pool{Name: name}.Key()].Pool
	if pool == nil || pool.Removed {
		return Pool{}, false
	}
	return *pool, true
}

// Team returns the named team. It returns false if the team is unknown or removed.
func (c Config) Team(name TeamName) (Team, bool) {
	team := c.Resources[Team{Name: name}.Key()].Team
	if team == nil || team.Removed {
		return Team{}, false
	}
	return *team, true
}

// Drained reports whether the configuration contains a drain of the instance.
func (c Config) Drained(instanceID string) bool {
	drain := c.Resources[Drain{Instance: instanceID}.Key()].Drain
	return drain != nil && !drain.Removed
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
