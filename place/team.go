package place

import "endiveroute.example/endive"

// team is a team's usage of the slice.
type team struct {
	name  endive.TeamName
	usage endive.Resources
	// quota is the configured quota; a dimension of 0 is unlimited.
	quota endive.Resources
	// otherUsage is the team's usage of other slices, as last read.
	otherUsage endive.Resources
	// dominantShare is the team's largest share of any resource of the slice. rank
	// is the team's index in the ranking.
	dominantShare float64
	rank          int
}

// teamOf returns the team of a name. It adds the team if needed.
func (m *Machine) teamOf(name endive.TeamName) *team {
	t, ok := m.teams[name]
	if !ok {
		t = &team{name: name}
		m.teams[name] = t
		m.updateQuota(t)
		t.otherUsage = m.usages.otherUsage(name)
		m.ranking.add(t)
	}
	return t
}

// changeUsage adds to the team's usage and updates its rank.
func (m *Machine) changeUsage(t *team, more endive.Resources) {
	t.usage = t.usage.Add(more)
	if t.quota != (endive.Resources{}) {
		m.usages.dirty = true
	}
	t.dominantShare = dominantShareOf(t.usage, m.totalSize)
	m.ranking.reposition(t)
}

// dominantShareOf returns the largest share of the total that the usage has of
// any resource.
func dominantShareOf(usage, total endive.Resources) float64 {
	share := 0.0
	if total.Processors > 0 {
		share = float64(usage.Processors) / float64(total.Processors)
	}
	if total.Memory > 0 {
		share = max(share, float64(usage.Memory)/float64(total.Memory))
	}
	if total.Accelerators > 0 {
		share = max(share, float64(usage.Accelerators)/float64(total.Accelerators))
	}
	return share
}

// updateQuota sets the team's quota from the current configuration.
func (m *Machine) updateQuota(t *team) {
	configured, _ := m.config.Team(t.name)
	t.quota = configured.Quota
}

// withinQuota reports whether the quota allows the team more usage, counting
// its usage of all slices.
func (t *team) withinQuota(more endive.Resources) bool {
	return t.usage.Add(t.otherUsage).Add(more).WithinQuota(t.quota)
}
