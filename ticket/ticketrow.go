package ticket

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"

	"endiveroute.example/endive"
)

// ticketPrefix is the key prefix of the tickets' rows.
const ticketPrefix = "tickets/"

// Digest is the SHA-256 digest of a ticket's content, in hexadecimal.
type Digest string

// ticketRow is the value of the row that a ticket creates.
type ticketRow struct {
	Digest    Digest               `json:"digest"`
	Comment   string               `json:"comment,omitempty"`
	Resources []endive.ResourceKey `json:"resources"`
}

// ticketKey returns the key of a ticket's row. The keys sort in the order of the
// numbers.
func ticketKey(number endive.TicketNumber) string {
	return fmt.Sprintf("%s%020d", ticketPrefix, number)
}

// digestOf returns the digest of a ticket. The ticket's defaults must be filled
// in already.
func digestOf(t endive.Ticket) Digest {
	// Marshalling plain structs of strings and numbers can't fail.
	text, _ := json.Marshal(t)
	sum := sha256.Sum256(text)
	return Digest(hex.EncodeToString(sum[:]))
}

// resourcesOf returns the resources that a ticket sets, in the order of the ticket.
func resourcesOf(t endive.Ticket) []resource {
	var list []resource
	add := func(key endive.ResourceKey, c endive.ConfiguredResource) {
		c.Ticket = t.Number
		list = append(list, resource{key, c})
	}
	for i := range t.Services {
		add(t.Services[i].Key(), endive.ConfiguredResource{Service: &t.Services[i]})
	}
	for i := range t.Pools {
		add(t.Pools[i].Key(), endive.ConfiguredResource{Pool: &t.Pools[i]})
	}
	for i := range t.Teams {
		add(t.Teams[i].Key(), endive.ConfiguredResource{Team: &t.Teams[i]})
	}
	for i := range t.Drains {
		add(t.Drains[i].Key(), endive.ConfiguredResource{Drain: &t.Drains[i]})
	}
	return list
}

// resource is a configured resource with its key.
type resource struct {
	key        endive.ResourceKey
	configured endive.ConfiguredResource
}

func (r ticketRow) encode() []byte {
	// Marshalling a struct of strings can't fail.
	value, _ := json.Marshal(r)
	return value
}

// decodeTicket decodes the row of a ticket. For an invalid row it returns an empty
// digest, which no ticket has.
func decodeTicket(row endive.Row) ticketRow {
	var t ticketRow
	if err := json.Unmarshal(row.Value, &t); err != nil {
		return ticketRow{}
	}
	return t
}
