package ticket

import (
	"fmt"
	"slices"
	"time"

	"endiveroute.example/endive"
)

const (
	// maxRollouts bounds the tickets that are on their way at the same time.
	maxRollouts = 1000
	// maxAttempts bounds the transactions of one ticket: each follows on a change of
	// a resource by a lower ticket.
	maxAttempts = 10
	// forgetAfter is how long a written ticket is watched without a waiter.
	forgetAfter = endive.Interval(10 * time.Minute)
)

// apply takes an operator's ticket. A repeat joins the first one.
func (m *Machine) apply(now time.Time, e Apply) []endive.Action {
	t := cloneTicket(e.Ticket)
	t.Defaults()
	if f := t.Validate(); len(f) > 0 {
		return []endive.Action{ApplyResult{Tag: e.Tag, Number: t.Number, State: StateInvalid, Findings: f}}
	}
	w := waiter{tag: e.Tag, deadline: e.Deadline}
	digest := digestOf(t)
	for _, c := range m.rollouts {
		if c.ticket.Number == t.Number && c.digest == digest {
			c.waiters = append(c.waiters, w)
			return nil
		}
	}
	if len(m.rollouts) >= maxRollouts {
		return []endive.Action{ApplyResult{
			Tag: e.Tag, Number: t.Number, State: StateUnavailable, RetryAt: m.settings.PollInterval.After(now),
		}}
	}
	c := &rollout{ticket: t, digest: digest, resources: resourcesOf(t), waiters: []waiter{w}, startedAt: now}
	m.rollouts = append(m.rollouts, c)
	return m.write(c)
}

// cloneTicket returns a copy that shares no list with t.
func cloneTicket(t endive.Ticket) endive.Ticket {
	t.Services = slices.Clone(t.Services)
	t.Pools = slices.Clone(t.Pools)
	t.Teams = slices.Clone(t.Teams)
	t.Drains = slices.Clone(t.Drains)
	return t
}

// write writes a ticket. Where a resource is known to be held by the same or a
// higher ticket, the number's row is read instead: the ticket may have been
// written before.
func (m *Machine) write(c *rollout) []endive.Action {
	if m.known.highestHolder(c.resources).Ticket >= c.ticket.Number {
		return m.readNumber(c)
	}
	c.phase = phaseWriting
	c.attempts++
	c.writeID = m.ids.Next()
	return []endive.Action{endive.Commit{Transaction: c.transaction(c.writeID, &m.known)}}
}

// readNumber reads the row of a ticket's number. One that is on its way already may
// be too old for this ticket, and is followed by another.
func (m *Machine) readNumber(c *rollout) []endive.Action {
	c.queuedRead = false
	for _, o := range m.rollouts {
		if o != c && o.phase == phaseReadingNumber && !o.queuedRead && o.ticket.Number == c.ticket.Number {
			c.queuedRead = true
		}
	}
	c.phase = phaseReadingNumber
	if c.queuedRead {
		return nil
	}
	return []endive.Action{endive.Fetch{Keys: []string{ticketKey(c.ticket.Number)}}}
}

// handleFetched takes the row of a ticket's number.
func (m *Machine) handleFetched(now time.Time, e endive.Fetched) []endive.Action {
	var actions []endive.Action
	var queued []*rollout
	for _, c := range m.rollouts {
		switch {
		case c.phase != phaseReadingNumber || len(e.Keys) != 1 || e.Keys[0] != ticketKey(c.ticket.Number):
		case c.queuedRead:
			queued = append(queued, c)
		default:
			actions = append(actions, m.handleNumberRead(now, c, e)...)
		}
	}
	for _, c := range queued {
		actions = append(actions, m.readNumber(c)...)
	}
	return actions
}

// handleNumberRead decides on a ticket that can't be written any more, because a
// resource is held by the same or a higher one.
func (m *Machine) handleNumberRead(now time.Time, c *rollout, e endive.Fetched) []endive.Action {
	switch {
	case e.Unavailable:
		return m.reject(c, ApplyResult{State: StateUnavailable, RetryAt: m.settings.PollInterval.After(now)})
	case len(e.Rows) == 1:
		return m.compareWithStored(now, c, e.Rows[0])
	default:
		return m.reject(c, ApplyResult{State: StateConflict, Conflict: m.known.highestHolder(c.resources)})
	}
}

// handleCommitted takes the answer to a transaction.
func (m *Machine) handleCommitted(now time.Time, e endive.Committed) []endive.Action {
	switch e.WriteID {
	case "":
		return nil
	case m.registration.writeID:
		return m.handleRegistrationCommitted(now, e)
	case m.removalWrite:
		return m.handleRemovalCommitted(now, e)
	}
	for _, c := range m.rollouts {
		if c.phase == phaseWriting && c.writeID == e.WriteID {
			return m.handleTicketCommitted(now, c, e)
		}
	}
	return nil
}

// handleTicketCommitted takes the answer to the transaction of a ticket.
func (m *Machine) handleTicketCommitted(now time.Time, c *rollout, e endive.Committed) []endive.Action {
	switch e.Status {
	case endive.CommitUnknown:
		c.unconfirmed = true
		return nil
	case endive.CommitUnavailable:
		return m.reject(c, ApplyResult{State: StateUnavailable, RetryAt: m.settings.PollInterval.After(now)})
	case endive.CommitConflict:
		return m.handleConflict(now, c, e.Conflicts)
	}
	for i, r := range c.resources {
		m.known.merge(r.key, configRow{
			ConfiguredResource: r.configured, Version: e.Result.Versions[i], Revision: e.Result.Revision,
		})
	}
	return m.markWritten(now, c, e.Result.Revision)
}

// handleConflict looks at the rows that stood in the way: the ticket's own from an
// earlier try, a higher ticket, or a lower one that wasn't known here.
func (m *Machine) handleConflict(now time.Time, c *rollout, rows []endive.Row) []endive.Action {
	c.unconfirmed = false
	for _, row := range rows {
		if row.Key == ticketKey(c.ticket.Number) && row.Version > 0 {
			return m.compareWithStored(now, c, row)
		}
		if key, got, err := decodeConfigRow(row); err == nil {
			m.known.merge(key, got)
		}
	}
	if c.attempts >= maxAttempts {
		return m.reject(c, ApplyResult{State: StateUnavailable, RetryAt: m.settings.PollInterval.After(now)})
	}
	return m.write(c)
}

// compareWithStored compares a ticket with the one that was written under its number.
func (m *Machine) compareWithStored(now time.Time, c *rollout, row endive.Row) []endive.Action {
	if decodeTicket(row).Digest == c.digest {
		return m.markWritten(now, c, row.Revision)
	}
	var f endive.Findings
	f.Add("number", "%d was used for another content; take a new number", c.ticket.Number)
	return m.reject(c, ApplyResult{State: StateInvalid, Findings: f})
}

// markWritten notes that a ticket is in the table, and tells the other entries.
func (m *Machine) markWritten(now time.Time, c *rollout, revision endive.Revision) []endive.Action {
	c.phase = phaseWritten
	c.unconfirmed = false
	c.revision = revision
	actions := []endive.Action{m.decision(c.subject(), "written", fmt.Sprintf("at revision %d", revision))}
	var more []endive.Action
	c.minEntriesScan, more = m.entries.Ask(now)
	actions = append(actions, more...)
	actions = append(actions, m.scanConfig(now)...)
	return append(actions, m.sendNotices(c, m.otherEntries(func(p endive.Peer) bool { return p.State != endive.MemberGone }))...)
}

// reject ends a ticket that was not written.
func (m *Machine) reject(c *rollout, a ApplyResult) []endive.Action {
	c.phase = phaseEnded
	reason := string(a.State)
	if a.State == StateConflict {
		reason = fmt.Sprintf("%s is held by ticket %d", a.Conflict.Resource, a.Conflict.Ticket)
	}
	return append(c.answerAll(a), m.decision(c.subject(), string(a.State), reason))
}

// subject names the ticket in a decision.
func (c *rollout) subject() string { return fmt.Sprintf("ticket %d", c.ticket.Number) }
