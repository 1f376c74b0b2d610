package shell

import (
	"context"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
	"endiveroute.example/endive/ticket"
)

// stateTimeout bounds a query for the state of this entry.
const stateTimeout = endive.Interval(5 * time.Second)

// Apply implements serve.Tickets.
func (s *Shell) Apply(ctx context.Context, t endive.Ticket, deadline time.Time) (apiv1.TicketStatus, error) {
	ctx, cancel := context.WithDeadline(ctx, answerGrace.After(deadline))
	defer cancel()
	tag := s.waiters.nextTag()
	action, err := s.requestRole(ctx, s.ticket, tag, ticket.Apply{Tag: ticket.Tag(tag), Ticket: t, Deadline: deadline})
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
		return status, endive.ErrUnknown.New("ticket %d may have been written; send the same ticket again to find out", t.Number)
	case a.State == ticket.StateConflict && a.Conflict.Resource == "":
		return status, &apiv1.Error{
			Code: apiv1.CodeConflict, Message: "the number is used by a ticket with different content; nothing was written",
			Next: "Use a new number for the new ticket.",
		}
	case a.State == ticket.StateConflict:
		return status, endive.ErrConflict.Wrap(apiv1.Conflicts{{Resource: a.Conflict.Resource, Ticket: a.Conflict.Ticket}})
	case a.State == ticket.StateInvalid:
		return status, endive.ErrInvalid.Wrap(a.Findings)
	default:
		return status, endive.ErrUnavailable.New("the table service does not answer; nothing was written")
	}
	status.Confirmed = s.confirmed(ctx, a.Missing)
	return status, nil
}

// confirmed returns the entries that have confirmed a ticket: all known entries
// that are neither in missing nor in the state MemberGone.
func (s *Shell) confirmed(ctx context.Context, missing []endive.EntryID) []endive.EntryID {
	isMissing := make(map[endive.EntryID]bool, len(missing))
	for _, id := range missing {
		isMissing[id] = true
	}
	shown, err := s.ticketState(ctx)
	if err != nil {
		return nil
	}
	var confirmed []endive.EntryID
	for _, e := range shown.Entries {
		if !isMissing[e.Entry] && e.State != endive.MemberGone {
			confirmed = append(confirmed, e.Entry)
		}
	}
	return confirmed
}

// ticketState returns the configuration in force and how far each entry has
// applied it.
func (s *Shell) ticketState(ctx context.Context) (ticket.ConfigResult, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Duration(stateTimeout))
	defer cancel()
	tag := s.waiters.nextTag()
	action, err := s.requestRole(ctx, s.ticket, tag, ticket.ShowConfig{Tag: ticket.Tag(tag)})
	if err != nil {
		return ticket.ConfigResult{}, err
	}
	return action.(ticket.ConfigResult), nil
}

// Ticket implements serve.Tickets.
func (s *Shell) Ticket(ctx context.Context, number endive.TicketNumber) (apiv1.TicketStatus, error) {
	shown, err := s.ticketState(ctx)
	if err != nil {
		return apiv1.TicketStatus{}, err
	}
	found := false
	for _, configured := range shown.Config.Resources {
		found = found || configured.Ticket == number
	}
	if !found {
		return apiv1.TicketStatus{}, endive.ErrNotFound.New("no resource in the configuration comes from ticket %d: a later ticket replaced it, or it was never written", number)
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
