package cmds

import (
	"context"
	"encoding/json"
	"strings"

	"endiveroute.example/endive/apiv1"
)

const ticketShowHelp = `
Shows the configuration that the queried entry has in force: each resource, and the
ticket that last set it.

Examples:

  endive ticket show
  endive ticket show --json
  endive ticket show --entry 127.0.0.1:8202
`

// ticketShow is the command that shows the configuration in force.
type ticketShow struct{}

// run implements command.
func (c *ticketShow) run(ctx context.Context, s *session) error {
	config, err := s.client.Config(ctx)
	if err != nil {
		return err
	}
	var rows []string
	for _, resource := range config.Resources {
		rows = append(rows, row(resource.Key, resource.Ticket, resourceState(resource)))
	}
	return s.printTable(config, "RESOURCE\tTICKET\tSTATE", rows)
}

// resourceState formats the state of a resource as JSON on one line, or as "removed".
func resourceState(resource apiv1.ConfigResource) string {
	var value any
	removed := false
	switch {
	case resource.Service != nil:
		value, removed = resource.Service, resource.Service.Removed
	case resource.Pool != nil:
		value, removed = resource.Pool, resource.Pool.Removed
	case resource.Team != nil:
		value, removed = resource.Team, resource.Team.Removed
	case resource.Drain != nil:
		value, removed = resource.Drain, resource.Drain.Removed
	}
	if removed {
		return "removed"
	}
	text, err := json.Marshal(value)
	if err != nil {
		return err.Error()
	}
	return strings.ReplaceAll(string(text), ",", ", ")
}
