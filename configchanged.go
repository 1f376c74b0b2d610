package endive

// ConfigChanged is the event of a new configuration in force.
type ConfigChanged struct {
	Config Config
}

// IsEvent marks ConfigChanged as an event.
func (ConfigChanged) IsEvent() {}

// PublishConfig is the action of giving a new configuration to the other
// machines.
type PublishConfig struct {
	Config Config
}

// IsAction marks PublishConfig as an action.
func (PublishConfig) IsAction() {}
