package serve

import (
	"context"
	"math"
	"net/http"
	"strconv"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/apiv1"
	"endiveroute.example/endive/strict"
)

// defaultApplyTimeout is how long a call waits for a ticket to be in force if the
// operator sets no timeout.
const defaultApplyTimeout = endive.Interval(10 * time.Second)

// ticketRoutes returns the calls about tickets and the configuration.
func (s *Server) ticketRoutes() []route {
	return []route{
		{http.MethodPost, apiv1.PathTickets, s.operations, false, s.applyTicket},
		{http.MethodGet, apiv1.PathTicket, s.operations, false, s.showTicket},
		{http.MethodGet, apiv1.PathConfig, s.operations, false, s.showConfig},
	}
}

// applyTicket validates a ticket, writes it and waits for it to be in force.
func (s *Server) applyTicket(w http.ResponseWriter, r *http.Request) error {
	var f endive.Findings
	now := s.Clock.Now()
	readQuery(&f, r)
	values := readHeaders(&f, r.Header, apiv1.HeaderTimeout)
	deadline := readTimeout(&f, values, now, defaultApplyTimeout.After(now))
	var ticket endive.Ticket
	reading, err := readJSON(w, r, apiv1.MaxTicketBody, &ticket)
	if err != nil {
		return err
	}
	ticket.Defaults()
	if err := append(f, reading.MergeValidation(ticket.Validate())...).Err(); err != nil {
		return err
	}
	status, err := s.Backend.Apply(r.Context(), ticket, deadline)
	if err != nil {
		return err
	}
	code := http.StatusOK
	if status.State != apiv1.TicketInForce {
		code = http.StatusAccepted
	}
	writeJSON(w, code, status)
	return nil
}

// showTicket answers with the entries that have a ticket in force and those that
// don't.
func (s *Server) showTicket(w http.ResponseWriter, r *http.Request) error {
	var f endive.Findings
	readQuery(&f, r)
	readHeaders(&f, r.Header)
	text := r.PathValue("number")
	number, err := strconv.ParseUint(text, 10, 64)
	if err != nil || number == 0 || number > math.MaxInt64 {
		f.Add("path number", "is %q; tickets are numbered from 1", strict.Shorten(text))
	}
	if err := f.Err(); err != nil {
		return err
	}
	status, err := s.Backend.Ticket(r.Context(), endive.TicketNumber(number))
	if err != nil {
		return err
	}
	writeJSON(w, http.StatusOK, status)
	return nil
}

// showConfig answers with the configuration in force on this entry.
func (s *Server) showConfig(w http.ResponseWriter, r *http.Request) error {
	return handleRead(w, r, func(ctx context.Context) (any, error) { return s.Backend.Config(ctx) })
}
