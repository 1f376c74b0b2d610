package ticket

import (
	"fmt"
	"slices"
	"time"

	"endiveroute.example/endive"
)

const (
	// maxChanges bounds the tickets that are on their way at the same time.
	maxChanges = 1000
	// maxTries bounds the transactions of one ticket: each follows on a change of
	// a resource by a lower ticket.
	maxTries = 10
	// forgetAfter is how long a written ticket is watched without a waiter.
	forgetAfter = endive.Interval(10 * time.Minute)
)

// apply takes an operator's ticket. A repeat joins the first one.
func (k *Keeper) apply(now time.Time, e Apply) []endive.Action {
	t := cloneTicket(e.Ticket)
	t.Defaults()
	if f := t.Validate(); len(f) > 0 {
		return []endive.Action{ApplyResult{Tag: e.Tag, Number: t.Number, State: StateInvalid, Findings: f}}
	}
	w := waiter{tag: e.Tag, deadline: e.Deadline}
	digest := digestOf(t)
	for _, c := range k.changes {
		if c.ticket.Number == t.Number && c.digest == digest {
			c.waiters = append(c.waiters, w)
			return nil
		}
	}
	if len(k.changes) >= maxChanges {
		return []endive.Action{ApplyResult{
			Tag: e.Tag, Number: t.Number, State: StateUnavailable, RetryAt: k.settings.PollInterval.After(now),
		}}
	}
	c := &change{ticket: t, digest: digest, resources: configuredBy(t), waiters: []waiter{w}, since: now}
	k.changes = append(k.changes, c)
	return k.try(c)
}

// cloneTicket returns a copy that shares no list with t.
func cloneTicket(t endive.Ticket) endive.Ticket {
	t.Services = slices.Clone(t.Services)
	t.Pools = slices.Clone(t.Pools)
	t.Teams = slices.Clone(t.Teams)
	t.Drains = slices.Clone(t.Drains)
	return t
}

// try writes a ticket. Where a resource is known to be held by the same or a
// higher ticket, the number's row is read instead: the ticket may have been
// written before.
func (k *Keeper) try(c *change) []endive.Action {
	if k.contents.holder(c.resources).Holder >= c.ticket.Number {
		return k.read(c)
	}
	c.phase = phaseWriting
	c.tries++
	c.writeID = k.ids.Next()
	return []endive.Action{endive.Commit{Transaction: c.transaction(c.writeID, &k.contents)}}
}

// read reads the row of a ticket's number. One that is on its way already may
// be too old for this ticket, and is followed by another.
func (k *Keeper) read(c *change) []endive.Action {
	c.behind = false
	for _, o := range k.changes {
		if o != c && o.phase == phaseReading && !o.behind && o.ticket.Number == c.ticket.Number {
			c.behind = true
		}
	}
	c.phase = phaseReading
	if c.behind {
		return nil
	}
	return []endive.Action{endive.Fetch{Keys: []string{ticketKey(c.ticket.Number)}}}
}

// fetched takes the row of a ticket's number.
func (k *Keeper) fetched(now time.Time, e endive.Fetched) []endive.Action {
	var actions []endive.Action
	var behind []*change
	for _, c := range k.changes {
		switch {
		case c.phase != phaseReading || len(e.Keys) != 1 || e.Keys[0] != ticketKey(c.ticket.Number):
		case c.behind:
			behind = append(behind, c)
		default:
			actions = append(actions, k.numberRead(now, c, e)...)
		}
	}
	for _, c := range behind {
		actions = append(actions, k.read(c)...)
	}
	return actions
}

// numberRead decides on a ticket that can't be written any more, because a
// resource is held by the same or a higher one.
func (k *Keeper) numberRead(now time.Time, c *change, e endive.Fetched) []endive.Action {
	switch {
	case e.Unavailable:
		return k.refuse(c, ApplyResult{State: StateUnavailable, RetryAt: k.settings.PollInterval.After(now)})
	case len(e.Rows) == 1:
		return k.numberTaken(now, c, e.Rows[0])
	default:
		return k.refuse(c, ApplyResult{State: StateConflict, Conflict: k.contents.holder(c.resources)})
	}
}

// committed takes the answer to a transaction.
func (k *Keeper) committed(now time.Time, e endive.Committed) []endive.Action {
	switch e.WriteID {
	case "":
		return nil
	case k.standing.writing:
		return k.registered(now, e)
	case k.removing:
		return k.entryRemoved(now, e)
	}
	for _, c := range k.changes {
		if c.phase == phaseWriting && c.writeID == e.WriteID {
			return k.settle(now, c, e)
		}
	}
	return nil
}

// settle takes the answer to the transaction of a ticket.
func (k *Keeper) settle(now time.Time, c *change, e endive.Committed) []endive.Action {
	switch e.Status {
	case endive.CommitUnknown:
		c.unsettled = true
		return nil
	case endive.CommitUnavailable:
		return k.refuse(c, ApplyResult{State: StateUnavailable, RetryAt: k.settings.PollInterval.After(now)})
	case endive.CommitConflict:
		return k.conflicted(now, c, e.Conflicts)
	}
	for i, r := range c.resources {
		k.contents.merge(r.key, configRow{
			ConfiguredResource: r.configured, Version: e.Result.Versions[i], Revision: e.Result.Revision,
		})
	}
	return k.written(now, c, e.Result.Revision)
}

// conflicted looks at the rows that stood in the way: the ticket's own from an
// earlier try, a higher ticket, or a lower one that wasn't known here.
func (k *Keeper) conflicted(now time.Time, c *change, rows []endive.Row) []endive.Action {
	c.unsettled = false
	for _, row := range rows {
		if row.Key == ticketKey(c.ticket.Number) && row.Version > 0 {
			return k.numberTaken(now, c, row)
		}
		if key, got, err := decodeConfigRow(row); err == nil {
			k.contents.merge(key, got)
		}
	}
	if c.tries >= maxTries {
		return k.refuse(c, ApplyResult{State: StateUnavailable, RetryAt: k.settings.PollInterval.After(now)})
	}
	return k.try(c)
}

// numberTaken compares a ticket with the one that was written under its number.
func (k *Keeper) numberTaken(now time.Time, c *change, row endive.Row) []endive.Action {
	if decodeTicket(row).Digest == c.digest {
		return k.written(now, c, row.Revision)
	}
	var f endive.Findings
	f.Add("number", "%d was used for another content; take a new number", c.ticket.Number)
	return k.refuse(c, ApplyResult{State: StateInvalid, Findings: f})
}

// written notes that a ticket is in the table, and tells the other entries.
func (k *Keeper) written(now time.Time, c *change, revision endive.Revision) []endive.Action {
	c.phase = phaseWritten
	c.unsettled = false
	c.revision = revision
	actions := []endive.Action{k.decision(c.subject(), "written", fmt.Sprintf("at revision %d", revision))}
	var more []endive.Action
	c.scan, more = k.entries.Ask(now)
	actions = append(actions, more...)
	actions = append(actions, k.askConfig(now)...)
	return append(actions, k.notify(c, k.others(func(p endive.Peer) bool { return p.State != endive.MemberGone }))...)
}

// refuse ends a ticket that was not written.
func (k *Keeper) refuse(c *change, a ApplyResult) []endive.Action {
	c.phase = phaseEnded
	reason := string(a.State)
	if a.State == StateConflict {
		reason = fmt.Sprintf("%s is held by ticket %d", a.Conflict.Resource, a.Conflict.Holder)
	}
	return append(c.answer(a), k.decision(c.subject(), string(a.State), reason))
}

// subject names the ticket in a decision.
func (c *change) subject() string { return fmt.Sprintf("ticket %d", c.ticket.Number) }
