package ticket

// ShowConfig is the event of an operator requesting the configuration in force. Its
// result is one ConfigResult.
type ShowConfig struct {
	Tag Tag
}

// IsEvent marks ShowConfig as an event.
func (ShowConfig) IsEvent() {}
