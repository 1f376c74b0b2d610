package flow

import "time"

// The entry that accepts a workflow asks about its first steps while it writes it,
// and sends the answer here. Mostly it comes before the workflow does.

const (
	// maxEarlyAdvice bounds the answers that are kept for workflows which aren't known yet.
	maxEarlyAdvice = 512
	// forwardedAdviceWait is how much longer than its cost the answer may take that the
	// accepting entry asked for, before the holder asks for itself: the way to it and
	// from it, and the questions before it.
	forwardedAdviceWait = 300 * time.Millisecond
)

// handleForwardedAdvice takes in an answer that another entry got.
func (m *Machine) handleForwardedAdvice(e ForwardedAdvice) {
	if s := m.findStep(e.Step); s != nil {
		m.applyAdvice(s, e.Grants, e.Ineligible, e.Expiry, "asked by the accepting entry")
		return
	}
	if len(m.earlyAdvice) >= maxEarlyAdvice {
		m.dropExpiredAdvice()
	}
	if len(m.earlyAdvice) < maxEarlyAdvice {
		m.earlyAdvice[e.Step] = e
	}
}

// dropExpiredAdvice forgets answers that have expired.
func (m *Machine) dropExpiredAdvice() {
	for id, advice := range m.earlyAdvice {
		if !m.now.Before(advice.Expiry) {
			delete(m.earlyAdvice, id)
		}
	}
}

// applyEarlyAdvice takes in the answers that came before a job.
func (m *Machine) applyEarlyAdvice(j *job) {
	for _, occ := range j.sortedOccurrences() {
		for _, s := range occ.steps {
			advice, ok := m.earlyAdvice[s.id]
			if !ok {
				continue
			}
			delete(m.earlyAdvice, s.id)
			m.applyAdvice(s, advice.Grants, advice.Ineligible, advice.Expiry, "asked by the accepting entry before")
		}
	}
}

// awaitForwardedAdvice leaves the first questions about a new job to the entry that accepted
// it.
func (m *Machine) awaitForwardedAdvice(j *job) {
	cost := m.adviceCost(j)
	for _, occ := range j.occurrences {
		for _, s := range occ.steps {
			if len(s.spec.After) == 0 && len(s.tickets.eligible) == 0 {
				s.tickets.requestAfter = j.accepted.Add(cost + forwardedAdviceWait)
			}
		}
	}
}
