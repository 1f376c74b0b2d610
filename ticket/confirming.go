package ticket

import (
	"fmt"
	"sort"
	"time"

	"endiveroute.example/endive"
)

// awaitingConfirmation reports whether some entry has yet to confirm a written ticket.
func (m *Machine) awaitingConfirmation() bool {
	for _, r := range m.rollouts {
		if r.phase == phaseWritten {
			return true
		}
	}
	return false
}

// finishRollouts returns the results for the waiting Apply events whose ticket is in
// force on every entry or whose deadline has passed. It drops the finished rollouts.
func (m *Machine) finishRollouts(now time.Time) []endive.Action {
	var actions []endive.Action
	var rest []*rollout
	for _, r := range m.rollouts {
		actions = append(actions, m.finishRollout(now, r)...)
		if r.phase != phaseFinished {
			rest = append(rest, r)
		}
	}
	m.rollouts = rest
	return actions
}

// finishRollout does the work of finishRollouts for one rollout.
func (m *Machine) finishRollout(now time.Time, r *rollout) []endive.Action {
	switch r.phase {
	case phaseFinished:
		return nil
	case phaseReadingStored:
		return r.answerDue(now, ApplyResult{State: StateUnavailable, RetryAt: m.settings.PollInterval.After(now)})
	case phaseWriting:
		return r.answerDue(now, ApplyResult{State: StatePending, Unconfirmed: true})
	}
	missing := m.unconfirmedEntries(r)
	if len(missing) == 0 && m.entriesRead(r) {
		r.phase = phaseFinished
		reason := fmt.Sprintf("confirmed by all %d registered entries", len(m.registry.entries()))
		return append(r.answerAll(ApplyResult{State: StateInForce}), m.decision(r.subject(), string(StateInForce), reason))
	}
	actions := r.answerDue(now, ApplyResult{State: StatePending, Missing: missing})
	if len(r.waiters) == 0 && !now.Before(rolloutRetention.After(r.startedAt)) {
		r.phase = phaseFinished
	}
	return actions
}

// entriesRead reports whether the entries' rows were read after the ticket was
// written. An entry that registered after that read has the ticket, because an
// entry reads the configuration after it registers.
func (m *Machine) entriesRead(r *rollout) bool { return m.entries.LastSucceeded() >= r.minEntriesScan }

// unconfirmedEntries returns the IDs of the entries that haven't confirmed a ticket,
// among those that are registered and those that are live and serve clients.
func (m *Machine) unconfirmedEntries(r *rollout) []endive.EntryID {
	missing := make(map[endive.EntryID]bool)
	for _, entry := range m.registry.entries() {
		got := m.confirmed[entry]
		if got.incarnation != m.registry.rows[entry].incarnation || got.revision < r.revision {
			missing[entry] = true
		}
	}
	for _, p := range m.members.Peers {
		if p.State == endive.MemberLive && p.Ready && m.confirmed[p.ID].revision < r.revision {
			missing[p.ID] = true
		}
	}
	if m.published.Revision < r.revision {
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
	for _, r := range m.rollouts {
		if r.phase == phaseWritten {
			result.Pending = append(result.Pending, r.ticket.Number)
		}
	}
	return []endive.Action{result}
}
