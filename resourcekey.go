package endive

// ResourceKey identifies a configured resource, such as "services/quote".
type ResourceKey string

// Key returns the resource key of the service.
func (s Service) Key() ResourceKey { return ResourceKey("services/" + string(s.Name)) }

// Key returns the resource key of the pool.
func (p Pool) Key() ResourceKey { return ResourceKey("pools/" + string(p.Name)) }

// Key returns the resource key of the team.
func (t Team) Key() ResourceKey { return ResourceKey("teams/" + string(t.Name)) }

// Key returns the resource key of the drain.
func (d Drain) Key() ResourceKey { return ResourceKey("drains/" + d.Instance) }
