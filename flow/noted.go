package flow

import "time"

// The entry that accepts a workflow asks about its first steps while it writes it,
// and sends the answer here. Mostly it comes before the workflow does.

const (
	// maxEarly bounds the answers that are kept for workflows which aren't known yet.
	maxEarly = 512
	// adviceWait is how much longer than its cost the answer may take that the
	// accepting entry asked for, before the holder asks for itself: the way to it and
	// from it, and the questions before it.
	adviceWait = 300 * time.Millisecond
)

// adviceNoted takes in an answer that another entry got.
func (m *Machine) adviceNoted(e ForwardedAdvice) {
	if s := m.stepOf(e.Step); s != nil {
		m.takeAdvice(s, e.Grants, e.Ineligible, e.Expiry, "asked by the accepting entry")
		return
	}
	if len(m.early) >= maxEarly {
		m.dropEarly()
	}
	if len(m.early) < maxEarly {
		m.early[e.Step] = e
	}
}

// dropEarly forgets answers that have expired.
func (m *Machine) dropEarly() {
	for id, one := range m.early {
		if !m.now.Before(one.Expiry) {
			delete(m.early, id)
		}
	}
}

// takeEarly takes in the answers that came before a job.
func (m *Machine) takeEarly(j *job) {
	for _, occ := range j.sortedOccs() {
		for _, s := range occ.steps {
			one, ok := m.early[s.id]
			if !ok {
				continue
			}
			delete(m.early, s.id)
			m.takeAdvice(s, one.Grants, one.Ineligible, one.Expiry, "asked by the accepting entry before")
		}
	}
}

// awaitAdvice leaves the first questions about a new job to the entry that accepted
// it.
func (m *Machine) awaitAdvice(j *job) {
	cost := m.adviceCost(j)
	for _, occ := range j.occs {
		for _, s := range occ.steps {
			if len(s.spec.After) == 0 && len(s.tickets.good) == 0 {
				s.tickets.askAt = j.accepted.Add(cost + adviceWait)
			}
		}
	}
}
