package shell

import (
	"google.golang.org/protobuf/proto"

	"endiveroute.example/endive"
	"endiveroute.example/endive/intake"
	"endiveroute.example/endive/place"
	"endiveroute.example/endive/wire"
)

// Deliver implements peer.Inbox. It passes a message to the machines that handle
// its type.
func (s *Shell) Deliver(from endive.EntryID, incarnation endive.Incarnation, message proto.Message) {
	received := endive.Received{From: from, Incarnation: incarnation, Message: message}
	switch m := message.(type) {
	case *wire.Heartbeat:
		s.member.send(received)
		s.ticket.send(received)
		s.route.send(received)
		s.forwardHeartbeatLoads(m)
	case *wire.TicketNotice, *wire.StateAsk, *wire.StateAnswer:
		s.ticket.send(received)
	case *wire.SlotAsk, *wire.SlotGrant, *wire.SlotReturn, *wire.SlotRecall:
		s.route.send(received)
	case *wire.JobNotice:
		s.notifySlice(endive.SliceID(m.GetSlice()))
	case *wire.CancelNotice:
		s.notifySlice(endive.SliceID(m.GetSlice()))
	case *wire.SliceOffer, *wire.SliceAnswer:
		s.lease.send(received)
	case *wire.JobsAsk:
		go (&jobsRequest{shell: s, from: from, request: m}).run()
	case *wire.JobsAnswer:
		s.waiters.deliver(waitKey("jobs", m.GetTag()), jobsResponse{answer: m})
	}
}

// notifySlice makes the machine of a slice scan its rows for changes.
func (s *Shell) notifySlice(slice endive.SliceID) {
	if r := s.placer(slice); r != nil {
		r.send(place.RowsChanged{})
	}
}

// forwardHeartbeatLoads sends the slice loads in a heartbeat to the intake
// machine.
func (s *Shell) forwardHeartbeatLoads(beat *wire.Heartbeat) {
	for _, load := range beat.GetSlices() {
		s.forwardLoad(intake.LoadReceived{
			Slice:  endive.SliceID(load.GetSlice()),
			Queued: int(load.GetQueued()),
			Free:   load.GetFree().Resources(),
		})
	}
}
