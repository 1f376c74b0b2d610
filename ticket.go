package endive

import "fmt"

// MaxTicketResources is the maximum number of resources in one ticket.
const MaxTicketResources = 200

// Ticket is a numbered change of the configuration. It contains the complete new
// state of each resource that it changes.
type Ticket struct {
	Number   TicketNumber `json:"number" toml:"number"`
	Comment  string       `json:"comment,omitempty" toml:"comment"`
	Services Services     `json:"services,omitempty" toml:"services"`
	Pools    Pools        `json:"pools,omitempty" toml:"pools"`
	Teams    Teams        `json:"teams,omitempty" toml:"teams"`
	Drains   Drains       `json:"drains,omitempty" toml:"drains"`
}

// Defaults sets omitted fields to their defaults.
func (t *Ticket) Defaults() {
	for i := range t.Services {
		t.Services[i].Defaults()
	}
}

// Validate returns a finding for each invalid field of the ticket.
func (t Ticket) Validate() Findings {
	var f Findings
	if t.Number == 0 {
		f.Add("number", "is missing; tickets are numbered from 1")
	}
	n := len(t.Services) + len(t.Pools) + len(t.Teams) + len(t.Drains)
	if n == 0 {
		f.Add("ticket", "contains no services, pools, teams or drains")
	}
	if n > MaxTicketResources {
		f.Add("ticket", "contains %d resources; at most %d are allowed", n, MaxTicketResources)
	}
	paths := make(map[ResourceKey]string, n)
	unique := func(key ResourceKey, path string) {
		if first, ok := paths[key]; ok {
			f.Add(path, "%s is already defined at %s", key, first)
			return
		}
		paths[key] = path
	}
	for i, s := range t.Services {
		path := fmt.Sprintf("services[%d]", i)
		s.Validate(&f, path)
		unique(s.Key(), path)
	}
	for i, p := range t.Pools {
		path := fmt.Sprintf("pools[%d]", i)
		p.Validate(&f, path)
		unique(p.Key(), path)
	}
	for i, m := range t.Teams {
		path := fmt.Sprintf("teams[%d]", i)
		m.Validate(&f, path)
		unique(m.Key(), path)
	}
	for i, d := range t.Drains {
		path := fmt.Sprintf("drains[%d]", i)
		d.Validate(&f, path)
		unique(d.Key(), path)
	}
	return f
}
