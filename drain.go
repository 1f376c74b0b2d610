package endive

// Drain is the configuration of an endpoint that an operator has taken out of
// service.
type Drain struct {
	// Instance is the worker's or executor's id in the instance list.
	Instance string `json:"instance" toml:"instance"`
	// Removed puts the endpoint back into service.
	Removed bool `json:"removed,omitempty" toml:"removed"`
}

// Drains are the drains that a ticket sets.
type Drains []Drain

// Validate adds a finding for each invalid field of the drain, prefixed with path.
func (d Drain) Validate(f *Findings, path string) {
	ValidateName(f, path+".instance", d.Instance)
}
