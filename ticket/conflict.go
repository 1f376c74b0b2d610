package ticket

import "endiveroute.example/endive"

// Conflict names the ticket that stands in the way of another.
type Conflict struct {
	// Resource is held by Holder. It is empty where the ticket's own number was
	// used for other content.
	Resource endive.ResourceKey
	Ticket   endive.TicketNumber
}
