package shell

import (
	"context"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
	"endiveroute.example/endive/ticket"
)

// stateTimeout bounds a look at the state of this entry.
const stateTimeout = endive.Interval(5 * time.Second)

// Apply implements serve.Tickets.
func (s *Shell) Apply(ctx context.Context, t endive.Ticket, deadline time.Time) (apiv1.TicketStatus, error) {
	ctx, cancel := context.WithDeadline(ctx, answerGrace.After(deadline))
	defer cancel()
	tag := s.waiters.nextTag()
	action, err := s.askRole(ctx, s.ticket, tag, ticket.Apply{Tag: ticket.Tag(tag), Ticket: t, Deadline: deadline})
	if err != nil {
		return apiv1.TicketStatus{}, err
	}
	a := action.(ticket.ApplyResult)
	status := apiv1.TicketStatus{Number: t.Number, Revision: a.Revision, Missing: a.Missing}
	switch {
	case a.State == ticket.StateInForce:
		status.State = apiv1.TicketInForce
	case a.State == ticket.StatePending && !a.Unconfirmed:
		status.State = apiv1.TicketPending
	case a.State == ticket.StatePending:
		return status, endive.ErrUnknown.New("ticket %d may be written; send the same ticket again to learn more", t.Number)
	case a.State == ticket.StateConflict && a.Conflict.Resource == "":
		return status, &apiv1.Error{
			Code: apiv1.CodeConflict, Message: "the number belongs to a ticket with other content; nothing was written",
			Next: "Give the new ticket a number of its own.",
		}
	case a.State == ticket.StateConflict:
		return status, endive.ErrConflict.Wrap(apiv1.Conflicts{{Resource: a.Conflict.Resource, Ticket: a.Conflict.Ticket}})
	case a.State == ticket.StateInvalid:
		return status, endive.ErrInvalid.Wrap(a.Findings)
	default:
		return status, endive.ErrUnavailable.New("the table service gives no answer; nothing was written")
	}
	status.Confirmed = s.confirmed(ctx, a.Missing)
	return status, nil
}

// confirmed returns the known entries that aren't missing.
func (s *Shell) confirmed(ctx context.Context, missing []endive.EntryID) []endive.EntryID {
	absent := make(map[endive.EntryID]bool, len(missing))
	for _, id := range missing {
		absent[id] = true
	}
	shown, err := s.show(ctx)
	if err != nil {
		return nil
	}
	var confirmed []endive.EntryID
	for _, e := range shown.Entries {
		if !absent[e.Entry] && e.State != endive.MemberGone {
			confirmed = append(confirmed, e.Entry)
		}
	}
	return confirmed
}

func (s *Shell) show(ctx context.Context) (ticket.ConfigResult, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(stateTimeout))
	defer cancel()
	tag := s.waiters.nextTag()
	action, err := s.askRole(ctx, s.ticket, tag, ticket.ShowConfig{Tag: ticket.Tag(tag)})
	if err != nil {
		return ticket.ConfigResult{}, err
	}
	return action.(ticket.ConfigResult), nil
}

// Ticket implements serve.Tickets.
func (s *Shell) Ticket(ctx context.Context, number endive.TicketNumber) (apiv1.TicketStatus, error) {
	shown, err := s.show(ctx)
	if err != nil {
		return apiv1.TicketStatus{}, err
	}
	found := false
	for _, configured := range shown.Config.Resources {
		found = found || configured.Ticket == number
	}
	if !found {
		return apiv1.TicketStatus{}, endive.ErrNotFound.New("no resource is held by ticket %d; a later one replaced it, or it was never written", number)
	}
	status := apiv1.TicketStatus{Number: number, State: apiv1.TicketInForce, Revision: shown.Config.Revision}
	for _, e := range shown.Entries {
		if e.Current {
			status.Confirmed = append(status.Confirmed, e.Entry)
			continue
		}
		if e.State != endive.MemberGone {
			status.Missing = append(status.Missing, e.Entry)
			status.State = apiv1.TicketPending
		}
	}
	return status, nil
}

// Config implements serve.Tickets.
func (s *Shell) Config(context.Context) (apiv1.Config, error) {
	return apiv1.NewConfig(s.self.ID, *s.config.Load()), nil
}
