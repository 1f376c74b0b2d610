package keep

import "endiveroute.example/endive"

// Lookup is the event of a client requesting the outcome recorded under a key. The
// machine returns one Result.
type Lookup struct {
	Tag     Tag
	Service endive.ServiceName
	Key     endive.IdempotencyKey
}

// IsEvent marks Lookup as an event.
func (Lookup) IsEvent() {}
