package endive

// Team is the configuration of a team that submits jobs.
type Team struct {
	Name    TeamName `json:"name" toml:"name"`
	Removed bool     `json:"removed,omitempty" toml:"removed"`
	// Quota limits the resources that the team's tasks use at the same time, over all
	// pools. A dimension of 0 is unlimited.
	Quota Resources `json:"quota" toml:"quota"`
}

// Teams are the teams that a ticket sets.
type Teams []Team

// Validate adds a finding for each invalid field of the team, prefixed with path.
func (t Team) Validate(f *Findings, path string) {
	ValidateName(f, path+".name", string(t.Name))
	t.Quota.validate(f, path+".quota")
}
