package ticket

// ShowConfig is the event of an operator's question for the configuration in force.
// It is answered by one Shown.
type ShowConfig struct {
	Tag Tag
}

// IsEvent marks Show as an event.
func (ShowConfig) IsEvent() {}
