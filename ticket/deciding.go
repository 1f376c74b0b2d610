package ticket

import (
	"fmt"
	"sort"
	"time"

	"endiveroute.example/endive"
)

// waiting reports whether a written ticket isn't in force everywhere yet.
func (k *Keeper) waiting() bool {
	for _, c := range k.changes {
		if c.phase == phaseWritten {
			return true
		}
	}
	return false
}

// decide answers the tickets that are in force on every entry, and those whose
// deadline has come.
func (k *Keeper) decide(now time.Time) []endive.Action {
	var actions []endive.Action
	var rest []*change
	for _, c := range k.changes {
		actions = append(actions, k.decideOne(now, c)...)
		if c.phase != phaseEnded {
			rest = append(rest, c)
		}
	}
	k.changes = rest
	return actions
}

// decideOne does so for one ticket.
func (k *Keeper) decideOne(now time.Time, c *change) []endive.Action {
	switch c.phase {
	case phaseEnded:
		return nil
	case phaseReading:
		return c.answerDue(now, ApplyResult{State: StateUnavailable, RetryAt: k.settings.PollInterval.After(now)})
	case phaseWriting:
		return c.answerDue(now, ApplyResult{State: StatePending, Unconfirmed: true})
	}
	missing := k.missing(c)
	if len(missing) == 0 && k.accounted(c) {
		c.phase = phaseEnded
		reason := fmt.Sprintf("confirmed by all %d registered entries", len(k.registry.entries()))
		return append(c.answer(ApplyResult{State: StateInForce}), k.decision(c.subject(), string(StateInForce), reason))
	}
	actions := c.answerDue(now, ApplyResult{State: StatePending, Missing: missing})
	if len(c.waiters) == 0 && !now.Before(forgetAfter.After(c.since)) {
		c.phase = phaseEnded
	}
	return actions
}

// accounted reports whether the entries' rows were read after the ticket was
// written. An entry that registered later read the configuration after that,
// and so has the ticket.
func (k *Keeper) accounted(c *change) bool { return k.entries.Answered() >= c.scan }

// missing returns the entries that haven't confirmed a ticket: those that are
// registered, and those that are live and answer callers.
func (k *Keeper) missing(c *change) []endive.EntryID {
	late := make(map[endive.EntryID]bool)
	for _, entry := range k.registry.entries() {
		got := k.confirmed[entry]
		if got.incarnation != k.registry.rows[entry].incarnation || got.revision < c.revision {
			late[entry] = true
		}
	}
	for _, p := range k.view.Peers {
		if p.State == endive.MemberLive && p.Ready && k.confirmed[p.ID].revision < c.revision {
			late[p.ID] = true
		}
	}
	if k.published.Revision < c.revision {
		late[k.self] = true
	}
	ids := make([]endive.EntryID, 0, len(late))
	for entry := range late {
		ids = append(ids, entry)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// show answers an operator's question.
func (k *Keeper) show(e ShowConfig) []endive.Action {
	s := ConfigResult{Tag: e.Tag, Config: k.published, Newest: k.contents.newest()}
	for _, p := range k.view.Peers {
		revision := k.confirmed[p.ID].revision
		s.Entries = append(s.Entries, EntryRevision{
			Entry: p.ID, State: p.State, Revision: revision, Current: revision >= k.published.Revision,
		})
	}
	for _, c := range k.changes {
		if c.phase == phaseWritten {
			s.Pending = append(s.Pending, c.ticket.Number)
		}
	}
	return []endive.Action{s}
}
