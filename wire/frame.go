package wire

import (
	"google.golang.org/protobuf/proto"
)

// Wrap returns a frame with the given message, or nil if the message has no field in Frame.
func Wrap(message proto.Message) *Frame {
	switch m := message.(type) {
	case *Hello:
		return &Frame{Body: &Frame_Hello{m}}
	case *Heartbeat:
		return &Frame{Body: &Frame_Heartbeat{m}}
	case *TicketNotice:
		return &Frame{Body: &Frame_TicketNotice{m}}
	case *StateAsk:
		return &Frame{Body: &Frame_StateAsk{m}}
	case *StateAnswer:
		return &Frame{Body: &Frame_StateAnswer{m}}
	case *SlotAsk:
		return &Frame{Body: &Frame_SlotAsk{m}}
	case *SlotGrant:
		return &Frame{Body: &Frame_SlotGrant{m}}
	case *SlotReturn:
		return &Frame{Body: &Frame_SlotReturn{m}}
	case *SlotRecall:
		return &Frame{Body: &Frame_SlotRecall{m}}
	case *JobNotice:
		return &Frame{Body: &Frame_JobNotice{m}}
	case *CancelNotice:
		return &Frame{Body: &Frame_CancelNotice{m}}
	case *SliceOffer:
		return &Frame{Body: &Frame_SliceOffer{m}}
	case *SliceAnswer:
		return &Frame{Body: &Frame_SliceAnswer{m}}
	case *JobsAsk:
		return &Frame{Body: &Frame_JobsAsk{m}}
	case *JobsAnswer:
		return &Frame{Body: &Frame_JobsAnswer{m}}
	case *AdviceAsk:
		return &Frame{Body: &Frame_AdviceAsk{m}}
	case *AdviceAnswer:
		return &Frame{Body: &Frame_AdviceAnswer{m}}
	case *AdviceNote:
		return &Frame{Body: &Frame_AdviceNote{m}}
	case *PoolHandOver:
		return &Frame{Body: &Frame_PoolHandOver{m}}
	case *RelayAsk:
		return &Frame{Body: &Frame_RelayAsk{m}}
	case *RelayAnswer:
		return &Frame{Body: &Frame_RelayAnswer{m}}
	}
	return nil
}

// Unwrap returns the message in a frame, or nil if the frame is empty or holds a message of
// an unknown type.
func Unwrap(frame *Frame) proto.Message {
	switch b := frame.GetBody().(type) {
	case *Frame_Hello:
		return b.Hello
	case *Frame_Heartbeat:
		return b.Heartbeat
	case *Frame_TicketNotice:
		return b.TicketNotice
	case *Frame_StateAsk:
		return b.StateAsk
	case *Frame_StateAnswer:
		return b.StateAnswer
	case *Frame_SlotAsk:
		return b.SlotAsk
	case *Frame_SlotGrant:
		return b.SlotGrant
	case *Frame_SlotReturn:
		return b.SlotReturn
	case *Frame_SlotRecall:
		return b.SlotRecall
	case *Frame_JobNotice:
		return b.JobNotice
	case *Frame_CancelNotice:
		return b.CancelNotice
	case *Frame_SliceOffer:
		return b.SliceOffer
	case *Frame_SliceAnswer:
		return b.SliceAnswer
	case *Frame_JobsAsk:
		return b.JobsAsk
	case *Frame_JobsAnswer:
		return b.JobsAnswer
	case *Frame_AdviceAsk:
		return b.AdviceAsk
	case *Frame_AdviceAnswer:
		return b.AdviceAnswer
	case *Frame_AdviceNote:
		return b.AdviceNote
	case *Frame_PoolHandOver:
		return b.PoolHandOver
	case *Frame_RelayAsk:
		return b.RelayAsk
	case *Frame_RelayAnswer:
		return b.RelayAnswer
	}
	return nil
}
