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
	// lookAt is when to look again whether anything changed.
	lookAt time.Time
	known  bool
	// wroteAt is when the row was written last.
	wroteAt time.Time
	// crowdedSince is when work began to wait for room; zero while none does.
	crowdedSince time.Time
}

// crowdedAfter is how long work has to wait for room for the pool to be crowded.
const crowdedAfter = 500 * time.Millisecond

// crowd takes in whether the last look at what could start left work for want of
// room.
func (r *statusReport) crowd(waits bool, now time.Time) {
	switch {
	case !waits:
		r.crowdedSince = time.Time{}
	case r.crowdedSince.IsZero():
		r.crowdedSince = now
	}
}

// due returns when the row has to be written; zero while it is as written.
func (r *statusReport) due(m *Machine) time.Time {
	if m.now.Before(r.lookAt) {
		return time.Time{}
	}
	r.current = Status{
		Pending:   make(map[endive.QueueName]int),
		Saturated: !r.crowdedSince.IsZero() && m.now.Sub(r.crowdedSince) > crowdedAfter,
		At:        m.clock.AtLeast(m.now),
	}
	r.current.Forecasts = m.copyForecasts()
	for _, j := range m.jobs {
		if !j.begun && !j.state.Ended() && j.spec.Schedule.Occurrences == 0 {
			r.current.Pending[j.policy.Name]++
		}
	}
	current := m.now.Sub(r.wroteAt) < statusAge
	if r.known && current && r.current.Saturated == r.written.Saturated && maps.Equal(r.current.Pending, r.written.Pending) {
		r.lookAt = m.now.Add(statusPeriod)
		return time.Time{}
	}
	return m.now
}

// noteUse notes how much of the pool is in use and what waits.
func (m *Machine) noteUse() {
	var capacity, used endive.Resources
	usable := 0
	for _, w := range m.ordered {
		if w.usable() {
			usable++
			capacity = capacity.Add(w.self.Capacity)
			used = used.Add(w.used)
		}
	}
	waiting := 0
	for _, j := range m.jobs {
		if !j.begun && !j.state.Ended() {
			waiting++
		}
	}
	m.note(Decision{Kind: DecisionPool, Outcome: "in use", Reason: used.String() + " of " + capacity.String() + " on " +
		number(int64(usable)) + " of " + number(int64(len(m.ordered))) + " workers; " + number(int64(waiting)) + " of " +
		number(int64(len(m.jobs))) + " workflows wait; " + m.claims.String() + ", questions of " +
		m.advice.asking.String() + " on their way"})
}

// wrote notes that a status was written.
func (r *statusReport) wrote(status Status, now time.Time) {
	r.written, r.known = status, true
	r.lookAt = now.Add(statusPeriod)
	r.wroteAt = now
}

// decode reads the JSON of a row.
func decode(value []byte, into any) error { return json.Unmarshal(value, into) }
