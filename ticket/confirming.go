package ticket

import (
	"fmt"
	"sort"
	"time"

	"endiveroute.example/endive"
)

// awaitingConfirmation reports whether some entry has yet to confirm a written ticket.
func (m *Machine) awaitingConfirmation() bool {
	for _, c := range m.rollouts {
		if c.phase == phaseWritten {
			return true
		}
	}
	return false
}

// finishRollouts returns the results of tickets that are in force on every entry and
// of Applies whose deadline has passed, and drops the finished rollouts.
func (m *Machine) finishRollouts(now time.Time) []endive.Action {
	var actions []endive.Action
	var rest []*rollout
	for _, c := range m.rollouts {
		actions = append(actions, m.finishRollout(now, c)...)
		if c.phase != phaseFinished {
			rest = append(rest, c)
		}
	}
	m.rollouts = rest
	return actions
}

// finishRollout does the work of finishRollouts for one rollout.
func (m *Machine) finishRollout(now time.Time, c *rollout) []endive.Action {
	switch c.phase {
	case phaseFinished:
		return nil
	case phaseReadingStored:
		return c.answerDue(now, ApplyResult{State: StateUnavailable, RetryAt: m.settings.PollInterval.After(now)})
	case phaseWriting:
		return c.answerDue(now, ApplyResult{State: StatePending, Unconfirmed: true})
	}
	missing := m.unconfirmedEntries(c)
	if len(missing) == 0 && m.entriesRead(c) {
		c.phase = phaseFinished
		reason := fmt.Sprintf("confirmed by all %d registered entries", len(m.registry.entries()))
		return append(c.answerAll(ApplyResult{State: StateInForce}), m.decision(c.subject(), string(StateInForce), reason))
	}
	actions := c.answerDue(now, ApplyResult{State: StatePending, Missing: missing})
	if len(c.waiters) == 0 && !now.Before(rolloutRetention.After(c.startedAt)) {
		c.phase = phaseFinished
	}
	return actions
}

// entriesRead reports whether the entries' rows were read after the ticket was
// written. An entry that registered after that read has the ticket, because it reads
// the configuration after it registers.
func (m *Machine) entriesRead(c *rollout) bool { return m.entries.Answered() >= c.minEntriesScan }

// unconfirmedEntries returns the IDs of the entries that haven't confirmed a ticket,
// among those that are registered and those that are live and serve clients.
func (m *Machine) unconfirmedEntries(c *rollout) []endive.EntryID {
	missing := make(map[endive.EntryID]bool)
	for _, entry := range m.registry.entries() {
		got := m.confirmed[entry]
		if got.incarnation != m.registry.rows[entry].incarnation || got.revision < c.revision {
			missing[entry] = true
		}
	}
	for _, p := range m.members.Peers {
		if p.State == endive.MemberLive && p.Ready && m.confirmed[p.ID].revision < c.revision {
			missing[p.ID] = true
		}
	}
	if m.published.Revision < c.revision {
		missing[m.self] = true
	}
	ids := make([]endive.EntryID, 0, len(missing))
	for entry := range missing {
		ids = append(ids, entry)
	}
	sort.Slice(ids, func(i, j int) bool { return ids[i] < ids[j] })
	return ids
}

// showConfig returns the configuration and the state of the rollouts to an operator.
func (m *Machine) showConfig(e ShowConfig) []endive.Action {
	result := ConfigResult{Tag: e.Tag, Config: m.published, Newest: m.known.newestTicket()}
	for _, p := range m.members.Peers {
		revision := m.confirmed[p.ID].revision
		result.Entries = append(result.Entries, EntryRevision{
			Entry: p.ID, State: p.State, Revision: revision, Current: revision >= m.published.Revision,
		})
	}
	for _, c := range m.rollouts {
		if c.phase == phaseWritten {
			result.Pending = append(result.Pending, c.ticket.Number)
		}
	}
	return []endive.Action{result}
}
