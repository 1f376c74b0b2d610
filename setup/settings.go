package setup

import (
	"fmt"

	"endiveroute.example/endive"
	"endiveroute.example/endive/files"
)

// Settings are the settings of an entry, from its settings file.
type Settings struct {
	// Name is the entry's id.
	Name   endive.EntryID `toml:"name" json:"name"`
	Region endive.Region  `toml:"region" json:"region"`
	Zone   endive.Zone    `toml:"zone" json:"zone"`
	// LogLevel is trace, debug, info, warn or error.
	LogLevel string   `toml:"logLevel" json:"logLevel"`
	Listen   Listen   `toml:"listen" json:"listen"`
	Platform Platform `toml:"platform" json:"platform"`
	// Peers are the other entries.
	Peers   Peers   `toml:"peers" json:"peers"`
	Limits  Limits  `toml:"limits" json:"limits"`
	Timings Timings `toml:"timings" json:"timings"`
}

// DefaultLogLevel is the level at which the entry logs its decisions.
const DefaultLogLevel = "info"

// Load reads the settings from a TOML file, sets the defaults and validates the
// settings. If they are invalid, the error wraps a *files.Error with all findings.
func Load(path string) (Settings, error) {
	var s Settings
	result, err := files.Load(path, &s)
	if err != nil {
		return Settings{}, err
	}
	s.Defaults()
	return s, files.Check(path, result, s.Validate())
}

// Defaults sets the fields that are empty to their defaults.
func (s *Settings) Defaults() {
	if s.LogLevel == "" {
		s.LogLevel = DefaultLogLevel
	}
	s.Limits.Defaults()
	s.Timings.Defaults()
}

// Validate returns a finding for each invalid setting.
func (s Settings) Validate() endive.Findings {
	var f endive.Findings
	endive.ValidateName(&f, "name", string(s.Name))
	endive.ValidateName(&f, "region", string(s.Region))
	endive.ValidateName(&f, "zone", string(s.Zone))
	validateLogLevel(&f, s.LogLevel)
	s.Listen.validate(&f)
	s.Platform.validate(&f)
	s.Peers.validate(&f, s)
	s.Limits.validate(&f)
	s.Timings.validate(&f)
	return f
}

// String returns the entry's name and location in one line.
func (s Settings) String() string {
	return fmt.Sprintf("entry %s in zone %s of region %s with %d peers", s.Name, s.Zone, s.Region, len(s.Peers))
}

// validateLogLevel adds a finding unless level is a log level.
func validateLogLevel(f *endive.Findings, level string) {
	switch level {
	case "trace", "debug", "info", "warn", "error":
	default:
		f.Add("logLevel", "is %q; it must be trace, debug, info, warn or error", level)
	}
}
