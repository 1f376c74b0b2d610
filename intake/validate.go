package intake

import "endiveroute.example/endive"

// validate returns the reasons why the job could never run under the current
// configuration.
func (m *Machine) validate(j endive.Job) endive.Findings {
	var f endive.Findings
	team, ok := m.config.Team(j.Team)
	if !ok && j.Team != "" {
		f.Add("team", "%q is not configured", j.Team)
	}
	if _, ok := m.config.Pool(j.Pool); !ok && j.Pool != "" {
		f.Add("pool", "%q is not configured", j.Pool)
		return f
	}
	if ok && !j.Need.Times(int64(concurrentTasks(j))).WithinQuota(team.Quota) {
		f.Add("need", "%d tasks of %s exceed the quota of team %s, %s", concurrentTasks(j), j.Need, j.Team, team.Quota)
	}
	if j.Need != (endive.Resources{}) && j.Tasks > 0 {
		m.validateSize(j, &f)
	}
	return f
}

// validateSize checks whether the job fits on the workers of its pool.
func (m *Machine) validateSize(j endive.Job, f *endive.Findings) {
	found, largest := false, 0
	for _, s := range m.slices {
		if s.Pool != j.Pool || j.Region != "" && s.Region != j.Region {
			continue
		}
		found = true
		largest = max(largest, s.capacityFor(j.Need, concurrentTasks(j)))
	}
	switch {
	case !found && j.Region != "":
		f.Add("region", "pool %s has no workers in region %q", j.Pool, j.Region)
	case !found:
		f.Add("pool", "%q has no workers", j.Pool)
	case largest == 0:
		f.Add("need", "no worker of pool %s has %s", j.Pool, j.Need)
	case largest < concurrentTasks(j):
		f.Add("tasks", "is a gang of %d; the largest slice of pool %s can run %d such tasks at the same time", j.Tasks, j.Pool, largest)
	}
}
