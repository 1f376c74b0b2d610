package route

import "endiveroute.example/endive"

// Abandon is the event of a client that has disconnected. Its request gets no
// Answer afterwards.
type Abandon struct {
	Request endive.RequestID
}

// IsEvent marks Abandon as an event.
func (Abandon) IsEvent() {}
