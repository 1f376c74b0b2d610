package flow

import "time"

// The entry that accepts a workflow requests advice for the first steps while it stores the
// workflow, and forwards the answer to the holder. The answer usually arrives before the
// workflow.

const (
	// maxEarlyAdvice is the maximum number of answers that are kept for workflows that
	// haven't arrived yet.
	maxEarlyAdvice = 512
	// forwardedAdviceWait is how much longer than the advice request's expected response
	// time the holder waits for the accepting entry's answer before the holder sends a
	// request itself. It covers the network round trip and the requests that are queued
	// before this one.
	forwardedAdviceWait = 300 * time.Millisecond
)

// handleForwardedAdvice applies an answer that another entry received, or keeps it until the
// workflow arrives.
func (m *Machine) handleForwardedAdvice(e ForwardedAdvice) {
	if s := m.findStep(e.Step); s != nil {
		m.applyAdvice(s, e.Grants, e.Ineligible, e.Expiry, "requested by the accepting entry")
		return
	}
	if len(m.earlyAdvice) >= maxEarlyAdvice {
		m.dropExpiredAdvice()
	}
	if len(m.earlyAdvice) < maxEarlyAdvice {
		m.earlyAdvice[e.Step] = e
	}
}

// dropExpiredAdvice deletes early answers whose tickets have expired.
func (m *Machine) dropExpiredAdvice() {
	for id, advice := range m.earlyAdvice {
		if !m.now.Before(advice.Expiry) {
			delete(m.earlyAdvice, id)
		}
	}
}

// applyEarlyAdvice applies the answers that arrived before a job.
func (m *Machine) applyEarlyAdvice(j *job) {
	for _, occ := range j.sortedOccurrences() {
		for _, s := range occ.steps {
			advice, ok := m.earlyAdvice[s.id]
			if !ok {
				continue
			}
			delete(m.earlyAdvice, s.id)
			m.applyAdvice(s, advice.Grants, advice.Ineligible, advice.Expiry, "requested by the accepting entry, received before the workflow")
		}
	}
}

// awaitForwardedAdvice delays the holder's own requests for the first steps of a new job,
// because the accepting entry has already requested advice for them.
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
