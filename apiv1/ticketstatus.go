package apiv1

import "endiveroute.example/endive"

// TicketState is the state of a written ticket.
type TicketState string

// The states of a written ticket.
const (
	// TicketPending means that the ticket is stored, but some live entries haven't
	// confirmed it yet.
	TicketPending TicketState = "pending"
	// TicketInForce means that every live entry has confirmed the ticket.
	TicketInForce TicketState = "inForce"
)

// TicketStatus is the state of a ticket, with the entries that have it in force.
type TicketStatus struct {
	Number   endive.TicketNumber `json:"number"`
	State    TicketState         `json:"state"`
	Revision endive.Revision     `json:"revision"`
	// Confirmed are the entries that have the ticket in force.
	Confirmed []endive.EntryID `json:"confirmed"`
	// Missing are the entries that haven't confirmed the ticket.
	Missing []endive.EntryID `json:"missing,omitempty"`
}
