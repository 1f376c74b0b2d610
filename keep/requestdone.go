package keep

import "endiveroute.example/endive"

// RequestDone is the event of the outcome of a request that got a Proceed.
type RequestDone struct {
	Request endive.RequestID
	Outcome endive.Outcome
	Status  int
	Body    []byte
}

// IsEvent marks Done as an event.
func (RequestDone) IsEvent() {}
