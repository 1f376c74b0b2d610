package endive

import "google.golang.org/protobuf/proto"

// Send is the action that sends a message to a peer entry. Delivery is not reliable:
// messages can be lost, duplicated or reordered.
type Send struct {
	To      EntryID
	Message proto.Message
}

// IsAction marks Send as an action.
func (Send) IsAction() {}

// Received is the event of a message from a peer entry. From is the peer of the
// session on which the message arrived.
type Received struct {
	From        EntryID
	Incarnation Incarnation
	Message     proto.Message
}

// IsEvent marks Received as an event.
func (Received) IsEvent() {}
