package ticket

import "endiveroute.example/endive"

// Conflict identifies the ticket that prevents another one from being written.
type Conflict struct {
	// Resource was last set by Ticket. It is empty if the number itself is already
	// used by a ticket with other content.
	Resource endive.ResourceKey
	Ticket   endive.TicketNumber
}
