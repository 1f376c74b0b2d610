package apiv1

import "endiveroute.example/endive"

// Config is the configuration that an entry has in force.
type Config struct {
	Entry    endive.EntryID  `json:"entry"`
	Revision endive.Revision `json:"revision"`
	// HighestTicket is the highest ticket number in force.
	HighestTicket endive.TicketNumber `json:"newest"`
	Resources     []ConfigResource    `json:"resources"`
}

// ConfigResource is one configured resource under its key.
type ConfigResource struct {
	Key endive.ResourceKey `json:"key"`
	endive.ConfiguredResource
}

// NewConfig returns the JSON form of the configuration that entry has in force.
func NewConfig(entry endive.EntryID, config endive.Config) Config {
	c := Config{Entry: entry, Revision: config.Revision, Resources: []ConfigResource{}}
	for _, key := range config.Keys() {
		configured := config.Resources[key]
		c.HighestTicket = max(c.HighestTicket, configured.Ticket)
		c.Resources = append(c.Resources, ConfigResource{Key: key, ConfiguredResource: configured})
	}
	return c
}
