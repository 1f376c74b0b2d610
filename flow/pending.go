package flow

import (
	"encoding/json"
	"maps"
	"time"

	"endiveroute.example/endive"
)

// pendingCounts are the counts of workflows of which no task has started.
type pendingCounts struct {
	counted map[endive.QueueName]int
	written map[endive.QueueName]int
	// lookAt is when to count again.
	lookAt time.Time
	known  bool
}

// due returns when the counts have to be written; zero while they are as written.
func (p *pendingCounts) due(m *Machine) time.Time {
	if m.now.Before(p.lookAt) {
		return time.Time{}
	}
	p.counted = make(map[endive.QueueName]int)
	for _, j := range m.jobs {
		if !j.begun && !j.state.Ended() && j.spec.Schedule.Occurrences == 0 {
			p.counted[j.policy.Name]++
		}
	}
	if p.known && maps.Equal(p.counted, p.written) {
		p.lookAt = m.now.Add(pendingPeriod)
		return time.Time{}
	}
	return m.now
}

// wrote notes that counts were written.
func (p *pendingCounts) wrote(counts map[endive.QueueName]int, now time.Time) {
	p.written, p.known = counts, true
	p.lookAt = now.Add(pendingPeriod)
}

// decode reads the JSON of a row.
func decode(value []byte, into any) error { return json.Unmarshal(value, into) }
