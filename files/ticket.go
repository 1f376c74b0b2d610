package files

import "endiveroute.example/endive"

// LoadTicket reads a ticket from a file, sets its defaults and validates it.
func LoadTicket(path string) (endive.Ticket, error) {
	var ticket endive.Ticket
	result, err := Load(path, &ticket)
	if err != nil {
		return endive.Ticket{}, err
	}
	ticket.Defaults()
	return ticket, Check(path, result, ticket.Validate())
}
