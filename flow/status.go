package flow

import (
	"encoding/json"
	"maps"
	"time"

	"endiveroute.example/endive"
)

// statusReport is what the other entries are told of the pool.
type statusReport struct {
	current Status
	written Status
	// checkAt is when to look again whether anything changed.
	checkAt    time.Time
	hasWritten bool
	// writtenAt is when the row was written last.
	writtenAt time.Time
	// saturatedSince is when work began to wait for room; zero while none does.
	saturatedSince time.Time
}

// saturatedAfter is how long work has to wait for room for the pool to be crowded.
const saturatedAfter = 500 * time.Millisecond

// updateSaturation takes in whether the last look at what could start left work for want of
// room.
func (r *statusReport) updateSaturation(unplaced bool, now time.Time) {
	switch {
	case !unplaced:
		r.saturatedSince = time.Time{}
	case r.saturatedSince.IsZero():
		r.saturatedSince = now
	}
}

// dueAt returns when the row has to be written; zero while it is as written.
func (r *statusReport) dueAt(m *Machine) time.Time {
	if m.now.Before(r.checkAt) {
		return time.Time{}
	}
	r.current = Status{
		Pending:   make(map[endive.QueueName]int),
		Saturated: !r.saturatedSince.IsZero() && m.now.Sub(r.saturatedSince) > saturatedAfter,
		At:        m.clock.AtLeast(m.now),
	}
	r.current.Forecasts = m.copyForecasts()
	for _, j := range m.jobs {
		if !j.started && !j.state.Ended() && j.spec.Schedule.Occurrences == 0 {
			r.current.Pending[j.policy.Name]++
		}
	}
	current := m.now.Sub(r.writtenAt) < maxStatusAge
	if r.hasWritten && current && r.current.Saturated == r.written.Saturated && maps.Equal(r.current.Pending, r.written.Pending) {
		r.checkAt = m.now.Add(statusInterval)
		return time.Time{}
	}
	return m.now
}

// logUsage notes how much of the pool is in use and what waits.
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
		formatInt(int64(len(m.jobs))) + " workflows wait; " + m.reservedTotals.String() + ", questions of " +
		m.advice.inFlightCost.String() + " on their way"})
}

// markWritten notes that a status was written.
func (r *statusReport) markWritten(status Status, now time.Time) {
	r.written, r.hasWritten = status, true
	r.checkAt = now.Add(statusInterval)
	r.writtenAt = now
}

// decodeRow reads the JSON of a row.
func decodeRow(value []byte, into any) error { return json.Unmarshal(value, into) }
