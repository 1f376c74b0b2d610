package ticket

import (
	"fmt"
	"slices"
	"time"

	"endiveroute.example/endive"
)

const (
	// maxRollouts limits the number of concurrent rollouts.
	maxRollouts = 1000
	// maxAttempts limits the transactions for one ticket. A retry is needed each time
	// a lower-numbered ticket changes one of the resources.
	maxAttempts = 10
	// rolloutRetention is how long after its start the rollout of a written ticket is
	// tracked if no Apply waits for it.
	rolloutRetention = endive.Interval(10 * time.Minute)
)

// apply starts the rollout of an operator's ticket. If the same ticket is already
// being rolled out, the Apply waits for that rollout.
func (m *Machine) apply(now time.Time, e Apply) []endive.Action {
	t := cloneTicket(e.Ticket)
	t.Defaults()
	if f := t.Validate(); len(f) > 0 {
		return []endive.Action{ApplyResult{Tag: e.Tag, Number: t.Number, State: StateInvalid, Findings: f}}
	}
	w := waiter{tag: e.Tag, deadline: e.Deadline}
	digest := digestOf(t)
	for _, r := range m.rollouts {
		if r.ticket.Number == t.Number && r.digest == digest {
			r.waiters = append(r.waiters, w)
			return nil
		}
	}
	if len(m.rollouts) >= maxRollouts {
		return []endive.Action{ApplyResult{
			Tag: e.Tag, Number: t.Number, State: StateUnavailable, RetryAt: m.settings.PollInterval.After(now),
		}}
	}
	r := &rollout{ticket: t, digest: digest, resources: resourcesOf(t), waiters: []waiter{w}, startedAt: now}
	m.rollouts = append(m.rollouts, r)
	return m.write(r)
}

// cloneTicket returns a copy that shares no slices with the original.
func cloneTicket(t endive.Ticket) endive.Ticket {
	t.Services = slices.Clone(t.Services)
	t.Pools = slices.Clone(t.Pools)
	t.Teams = slices.Clone(t.Teams)
	t.Drains = slices.Clone(t.Drains)
	return t
}

// write sends the transaction that writes a ticket. If a ticket with the same or a
// higher number has set one of the resources, write reads the row of the ticket's
// number instead, because the ticket may have been written before.
func (m *Machine) write(r *rollout) []endive.Action {
	if m.known.highestTicketOf(r.resources).Ticket >= r.ticket.Number {
		return m.readStored(r)
	}
	r.phase = phaseWriting
	r.attempts++
	r.writeID = m.ids.Next()
	return []endive.Action{endive.Commit{Transaction: r.transaction(r.writeID, &m.known)}}
}

// readStored reads the row of a ticket's number. If a read of the row is
// already in flight for another rollout, the result of that read may be out of
// date for this ticket, so another read is queued and sent afterwards.
func (m *Machine) readStored(r *rollout) []endive.Action {
	r.readQueued = false
	for _, o := range m.rollouts {
		if o != r && o.phase == phaseReadingStored && !o.readQueued && o.ticket.Number == r.ticket.Number {
			r.readQueued = true
		}
	}
	r.phase = phaseReadingStored
	if r.readQueued {
		return nil
	}
	return []endive.Action{endive.Fetch{Keys: []string{ticketKey(r.ticket.Number)}}}
}

// handleFetched handles the result of a read by readStored.
func (m *Machine) handleFetched(now time.Time, e endive.Fetched) []endive.Action {
	var actions []endive.Action
	var queued []*rollout
	for _, r := range m.rollouts {
		switch {
		case r.phase != phaseReadingStored || len(e.Keys) != 1 || e.Keys[0] != ticketKey(r.ticket.Number):
		case r.readQueued:
			queued = append(queued, r)
		default:
			actions = append(actions, m.handleStoredRead(now, r, e)...)
		}
	}
	for _, r := range queued {
		actions = append(actions, m.readStored(r)...)
	}
	return actions
}

// handleStoredRead handles the stored row of a ticket's number. The ticket itself can
// no longer be written, because a ticket with the same or a higher number has set one
// of its resources.
func (m *Machine) handleStoredRead(now time.Time, r *rollout, e endive.Fetched) []endive.Action {
	switch {
	case e.Unavailable:
		return m.reject(r, ApplyResult{State: StateUnavailable, RetryAt: m.settings.PollInterval.After(now)})
	case len(e.Rows) == 1:
		return m.compareWithStored(now, r, e.Rows[0])
	default:
		return m.reject(r, ApplyResult{State: StateConflict, Conflict: m.known.highestTicketOf(r.resources)})
	}
}

// handleCommitted handles the result of a transaction.
func (m *Machine) handleCommitted(now time.Time, e endive.Committed) []endive.Action {
	switch e.WriteID {
	case "":
		return nil
	case m.registration.writeID:
		return m.handleRegistrationCommitted(now, e)
	case m.removalWrite:
		return m.handleRemovalCommitted(now, e)
	}
	for _, r := range m.rollouts {
		if r.phase == phaseWriting && r.writeID == e.WriteID {
			return m.handleTicketCommitted(now, r, e)
		}
	}
	return nil
}

// handleTicketCommitted handles the result of the transaction that writes a ticket.
func (m *Machine) handleTicketCommitted(now time.Time, r *rollout, e endive.Committed) []endive.Action {
	switch e.Status {
	case endive.CommitUnknown:
		r.unconfirmed = true
		return nil
	case endive.CommitUnavailable:
		return m.reject(r, ApplyResult{State: StateUnavailable, RetryAt: m.settings.PollInterval.After(now)})
	case endive.CommitConflict:
		return m.handleConflict(now, r, e.Conflicts)
	}
	for i, res := range r.resources {
		m.known.merge(res.key, configRow{
			ConfiguredResource: res.configured, Version: e.Result.Versions[i], Revision: e.Result.Revision,
		})
	}
	return m.markWritten(now, r, e.Result.Revision)
}

// handleConflict merges the rows whose versions differed from the expected ones, and
// retries the transaction. If the number's row exists, possibly from an earlier
// attempt, handleConflict compares the ticket with it instead.
func (m *Machine) handleConflict(now time.Time, r *rollout, rows []endive.Row) []endive.Action {
	r.unconfirmed = false
	for _, row := range rows {
		if row.Key == ticketKey(r.ticket.Number) && row.Version > 0 {
			return m.compareWithStored(now, r, row)
		}
		if key, got, err := decodeConfigRow(row); err == nil {
			m.known.merge(key, got)
		}
	}
	if r.attempts >= maxAttempts {
		return m.reject(r, ApplyResult{State: StateUnavailable, RetryAt: m.settings.PollInterval.After(now)})
	}
	return m.write(r)
}

// compareWithStored checks whether the ticket stored under the number has the same
// content.
func (m *Machine) compareWithStored(now time.Time, r *rollout, row endive.Row) []endive.Action {
	if decodeTicket(row).Digest == r.digest {
		return m.markWritten(now, r, row.Revision)
	}
	var f endive.Findings
	f.Add("number", "%d was used for a ticket with other content; use a new number", r.ticket.Number)
	return m.reject(r, ApplyResult{State: StateInvalid, Findings: f})
}

// markWritten records that the ticket is stored in the table, and notifies the other
// entries.
func (m *Machine) markWritten(now time.Time, r *rollout, revision endive.Revision) []endive.Action {
	r.phase = phaseWritten
	r.unconfirmed = false
	r.revision = revision
	actions := []endive.Action{m.decision(r.subject(), "written", fmt.Sprintf("at revision %d", revision))}
	var more []endive.Action
	r.minEntriesScan, more = m.entries.Request(now)
	actions = append(actions, more...)
	actions = append(actions, m.scanConfig(now)...)
	return append(actions, m.sendNotices(r, m.otherEntries(func(p endive.Peer) bool { return p.State != endive.MemberGone }))...)
}

// reject ends the rollout of a ticket that was not written.
func (m *Machine) reject(r *rollout, a ApplyResult) []endive.Action {
	r.phase = phaseFinished
	reason := string(a.State)
	if a.State == StateConflict {
		reason = fmt.Sprintf("%s is held by ticket %d", a.Conflict.Resource, a.Conflict.Ticket)
	}
	return append(r.answerAll(a), m.decision(r.subject(), string(a.State), reason))
}

// subject returns the subject of the log entries about the ticket.
func (r *rollout) subject() string { return fmt.Sprintf("ticket %d", r.ticket.Number) }
