package cmds

import (
	"context"

	"endiveroute.example/endive/setup"
)

const settingsCheckHelp = `
Checks an entry's settings file without starting an entry. Lists all findings, each
with the key and the reason; for an unknown key, the most similar known key is
suggested. setup/sample.toml shows every key.

Examples:

  endive settings check entry-1.toml
  endive settings check --cell cell.toml    an entry on the users' platform
`

// defineSettings defines the commands about settings files.
func (p *program) defineSettings() {
	group := p.app.Command("settings", "Settings files of entries.")
	check := &settingsCheck{}
	command := p.add(group, "check", "Check a settings file.", settingsCheckHelp, check)
	command.Flag("cell", "The file is of an entry on the users' platform.").BoolVar(&check.cell)
	command.Arg("file", "TOML file.").Required().StringVar(&check.file)
}

// settingsCheck is the command that checks a settings file.
type settingsCheck struct {
	file string
	cell bool
}

// run implements command.
func (c *settingsCheck) run(_ context.Context, s *session) error {
	if c.cell {
		cell, err := setup.LoadCell(c.file)
		if err != nil {
			return err
		}
		return s.printResult(cell, "The settings are good: %s.", cell)
	}
	settings, err := setup.Load(c.file)
	if err != nil {
		return err
	}
	return s.printResult(settings, "The settings are good: %s.", settings)
}
