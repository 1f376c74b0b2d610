package apiv1

import (
	"fmt"
	"strings"

	"endiveroute.example/endive"
)

// Conflict is a resource that a ticket can't change because of the ticket that last set
// it.
type Conflict struct {
	Resource endive.ResourceKey `json:"resource"`
	// Ticket is the number of the ticket that last set the resource.
	Ticket endive.TicketNumber `json:"ticket"`
}

// String formats the conflict as a phrase for error messages.
func (c Conflict) String() string {
	return fmt.Sprintf("%s is held by ticket %d", c.Resource, c.Ticket)
}

// Conflicts holds all conflicts of a refused ticket. As an error it is wrapped in
// endive.ErrConflict.
type Conflicts []Conflict

// Error lists the conflicts.
func (c Conflicts) Error() string {
	texts := make([]string, 0, len(c))
	for _, one := range c {
		texts = append(texts, one.String())
	}
	return strings.Join(texts, "; ")
}
