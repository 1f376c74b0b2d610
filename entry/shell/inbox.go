package shell

import (
	"google.golang.org/protobuf/proto"

	"endiveroute.example/endive"
	"endiveroute.example/endive/intake"
	"endiveroute.example/endive/place"
	"endiveroute.example/endive/wire"
)

// Deliver implements peer.Inbox: it hands a message to the machines that it is
// for.
func (s *Shell) Deliver(from endive.EntryID, incarnation endive.Incarnation, message proto.Message) {
	received := endive.Received{From: from, Incarnation: incarnation, Message: message}
	switch m := message.(type) {
	case *wire.Heartbeat:
		s.member.tell(received)
		s.ticket.tell(received)
		s.route.tell(received)
		s.hearLoads(m)
	case *wire.TicketNotice, *wire.StateAsk, *wire.StateAnswer:
		s.ticket.tell(received)
	case *wire.SlotAsk, *wire.SlotGrant, *wire.SlotReturn, *wire.SlotRecall:
		s.route.tell(received)
	case *wire.JobNotice:
		s.notice(endive.SliceID(m.GetSlice()))
	case *wire.CancelNotice:
		s.notice(endive.SliceID(m.GetSlice()))
	case *wire.SliceOffer, *wire.SliceAnswer:
		s.lease.tell(received)
	case *wire.JobsAsk:
		go (&jobsQuestion{shell: s, from: from, ask: m}).run()
	case *wire.JobsAnswer:
		s.waiters.answer(waitKey("jobs", m.GetTag()), jobsAnswered{answer: m})
	}
}

// notice tells the machine of a slice that there is something new to scan.
func (s *Shell) notice(slice endive.SliceID) {
	if r := s.placer(slice); r != nil {
		r.tell(place.RowsChanged{})
	}
}

// hearLoads passes on what a holder says of its slices.
func (s *Shell) hearLoads(beat *wire.Heartbeat) {
	for _, load := range beat.GetSlices() {
		s.noteLoad(intake.LoadReceived{
			Slice:  endive.SliceID(load.GetSlice()),
			Queued: int(load.GetQueued()),
			Free: endive.Resources{
				Processors:   endive.MilliProcessors(load.GetFree().GetProcessors()),
				Memory:       endive.Bytes(load.GetFree().GetMemory()),
				Accelerators: endive.Accelerators(load.GetFree().GetAccelerators()),
			},
		})
	}
}
