package keep

import "endiveroute.example/endive"

// RequestDone is the event that reports the outcome of a request sent for a
// SendRequest.
type RequestDone struct {
	Request endive.RequestID
	Outcome endive.Outcome
	Status  int
	Body    []byte
}

// IsEvent marks RequestDone as an event.
func (RequestDone) IsEvent() {}
