package endive

// ConfigChanged is the event that a new configuration has become active.
type ConfigChanged struct {
	Config Config
}

// IsEvent marks ConfigChanged as an event.
func (ConfigChanged) IsEvent() {}

// PublishConfig is the action that passes a new configuration to the other machines
// of this entry.
type PublishConfig struct {
	Config Config
}

// IsAction marks PublishConfig as an action.
func (PublishConfig) IsAction() {}
