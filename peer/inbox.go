package peer

import (
	"google.golang.org/protobuf/proto"

	"endiveroute.example/endive"
)

// Inbox receives the messages of peers. Deliver is called from several goroutines.
type Inbox interface {
	// Deliver handles one message. It must not block.
	Deliver(from endive.EntryID, incarnation endive.Incarnation, message proto.Message)
}
