package flow

import (
	"maps"
	"time"

	"endiveroute.example/endive"
)

// statusReport tracks the row with the pool's status, which the other entries read.
type statusReport struct {
	current Status
	written Status
	// checkAt is when to check again whether the status has changed.
	checkAt    time.Time
	hasWritten bool
	// writtenAt is when the row was last written.
	writtenAt time.Time
	// saturatedSince is when work began to wait for free capacity; zero while none does.
	saturatedSince time.Time
}

// saturatedAfter is how long work has to wait for free capacity until the pool counts as
// saturated.
const saturatedAfter = 500 * time.Millisecond

// updateSaturation records whether the last scheduling pass left work unplaced for lack of free
// capacity.
func (r *statusReport) updateSaturation(unplaced bool, now time.Time) {
	switch {
	case !unplaced:
		r.saturatedSince = time.Time{}
	case r.saturatedSince.IsZero():
		r.saturatedSince = now
	}
}

// dueAt computes the current status and returns when the row has to be written; zero if it is
// up to date.
func (r *statusReport) dueAt(m *Machine) time.Time {
	if m.now.Before(r.checkAt) {
		return time.Time{}
	}
	r.current = Status{
		Pending:   make(map[endive.QueueName]int),
		PendingAt: make(map[string]int),
		Saturated: !r.saturatedSince.IsZero() && m.now.Sub(r.saturatedSince) > saturatedAfter,
		At:        m.clock.AtLeast(m.now),
	}
	r.current.Forecasts = m.copyForecasts()
	r.current.HeldBack = m.heldBackAccounts()
	for _, j := range m.jobs {
		if !j.started && !j.state.Ended() && j.spec.Schedule.Occurrences == 0 {
			r.current.Pending[j.policy.Name]++
			r.current.PendingAt[QueueAddress(j.policy)]++
		}
	}
	current := m.now.Sub(r.writtenAt) < maxStatusAge
	if r.hasWritten && current && r.current.Saturated == r.written.Saturated && maps.Equal(r.current.Pending, r.written.Pending) {
		r.checkAt = m.now.Add(statusInterval)
		return time.Time{}
	}
	return m.now
}

// logUsage logs the pool's resources in use and the number of waiting workflows.
func (m *Machine) logUsage() {
	var capacity, used endive.Resources
	usable := 0
	for _, w := range m.sortedWorkers {
		if w.usable() {
			usable++
			capacity = capacity.Add(w.info.Capacity)
			used = used.Add(w.used)
		}
	}
	waiting := 0
	for _, j := range m.jobs {
		if !j.started && !j.state.Ended() {
			waiting++
		}
	}
	m.logDecision(Decision{Kind: DecisionPool, Outcome: "in use", Reason: used.String() + " of " + capacity.String() + " on " +
		formatInt(int64(usable)) + " of " + formatInt(int64(len(m.sortedWorkers))) + " workers; " + formatInt(int64(waiting)) + " of " +
		formatInt(int64(len(m.jobs))) + " workflows wait; " + m.usageOfAccounts() + "; " + m.reservedTotals.String() + ", advice requests of " +
		m.advice.inFlightCost.String() + " in flight"})
}

// markWritten records that a status was written.
func (r *statusReport) markWritten(status Status, now time.Time) {
	r.written, r.hasWritten = status, true
	r.checkAt = now.Add(statusInterval)
	r.writtenAt = now
}
