package flow

import (
	"sort"
	"time"

	"endiveroute.example/endive"
)

// adviceState tracks the requests to the advice service, which processes the requests of
// each entry one at a time.
type adviceState struct {
	// inFlightCost is the total response time of the requests in flight.
	inFlightCost endive.Interval
	// lastRequestAt is when the last request was sent.
	lastRequestAt time.Time
	// plannedCost is the total response time of the requests that the current scheduling
	// pass plans.
	plannedCost endive.Interval
	// steps lists the steps that need advice, in the order of the scheduling pass.
	steps []*step
	// nextAt is when the next delayed request may be sent; zero if there is none.
	nextAt time.Time
	// freeCapacity is the capacity that remains for the later steps of the scheduling pass
	// if the earlier ones get what they need. shortOfCapacity is true if the pass found no
	// free capacity for some step.
	freeCapacity    endive.Resources
	shortOfCapacity bool
}

func (m *Machine) needsTicket(s *step) bool { return s.occ.job.policy.Advice.Required() }

// awaitsTakeover reports whether tasks of a step may still run on workers that haven't
// answered in this tenure. Tickets for them are useless until the takeover is done.
func (m *Machine) awaitsTakeover(s *step) bool {
	if m.tenure.takeoverDone || !s.occ.job.inherited {
		return false
	}
	for _, t := range s.tasks {
		if t.state == taskWaiting && m.mayBeHidden(t) {
			return true
		}
	}
	return false
}

// adviceCost returns the response time of the largest advice request about a step of a job.
func (m *Machine) adviceCost(j *job) time.Duration {
	return time.Duration(j.policy.Advice.Cost(min(len(m.sortedWorkers), MaxAdviceWorkers)))
}

// requestAdviceEarly plans an advice request for a step whose predecessors are about to
// end, because the response time is a notable part of a task's run time.
func (m *Machine) requestAdviceEarly(s *step) {
	if !m.needsTicket(s) || s.tickets.requestInFlight(m.now) || s.tickets.requests > 0 {
		return
	}
	cost := m.adviceCost(s.occ.job)
	for _, index := range s.spec.After {
		predecessor := s.occ.steps[index]
		if predecessor.unfinished == 0 {
			continue
		}
		if predecessor.waiting > 0 || predecessor.startedAt.IsZero() {
			return
		}
		askAt := m.now.Add(m.stepRemaining(predecessor) - cost - earlyRequestMargin)
		if askAt.After(m.now) {
			m.schedulePass(askAt)
			return
		}
	}
	m.advice.steps = append(m.advice.steps, s)
}

// surveyDuringTakeover requests advice for a step that can't start yet because the step's
// tasks may run on silent workers. The early request is meant for takeovers with hundreds of
// workflows while one worker doesn't answer. The set of eligible workers doesn't change, so
// the answer is still correct when the takeover is done.
func (m *Machine) surveyDuringTakeover(s *step) {
	if m.needsTicket(s) && !s.tickets.surveyed() && !s.tickets.requestInFlight(m.now) {
		m.planRequest(s, m.surveySize(s))
	}
}

const (
	// earlyRequestMargin is how much earlier than necessary advice is requested.
	earlyRequestMargin = 200 * time.Millisecond
	// MaxAdviceWorkers is the maximum number of workers in an advice request.
	MaxAdviceWorkers = 100
)

// sendAdviceRequests sends advice requests for the first steps that need one, until the
// limit for the requests in flight is reached.
func (m *Machine) sendAdviceRequests() {
	m.advice.nextAt = time.Time{}
	if m.now.Sub(m.advice.lastRequestAt) > adviceTimeout {
		m.advice.inFlightCost = 0
	}
	for m.advice.inFlightCost < m.maxInFlightCost() {
		if !m.sendAdviceRequest() {
			return
		}
	}
}

// maxInFlightCost returns the limit for the total response time of the advice requests in
// flight.
func (m *Machine) maxInFlightCost() endive.Interval {
	return inFlightCostPerClient * endive.Interval(max(1, m.adviceClients))
}

// inFlightCostPerClient is the limit for the total response time of the requests in flight,
// for each advice client. The longest requests take about a second; with a lower limit,
// advice clients would be idle while work waits for answers.
const inFlightCostPerClient = endive.Interval(450 * time.Millisecond)

// adviceTimeout is when an advice request without an answer is abandoned. Each request is
// answered or fails long before, unless the answer is lost.
const adviceTimeout = 6 * time.Second

// freeingHorizon is the remaining time of a run below which its capacity is already counted
// as free: about the response time of an advice request.
const freeingHorizon = 200 * time.Millisecond

// sendAdviceRequest sends an advice request for one step and reports whether it did.
func (m *Machine) sendAdviceRequest() bool {
	if len(m.advice.steps) == 0 {
		return false
	}
	for i, s := range m.advice.steps {
		if m.now.Before(s.tickets.requestAfter) {
			m.advice.nextAt = endive.Earliest(m.advice.nextAt, s.tickets.requestAfter)
			continue
		}
		workers := m.adviceCandidates(s)
		if len(workers) == 0 {
			continue
		}
		m.advice.steps = append(m.advice.steps[:i:i], m.advice.steps[i+1:]...)
		cost := s.occ.job.policy.Advice.Cost(len(workers))
		m.advice.inFlightCost += cost
		s.tickets.inFlight = true
		s.tickets.requests++
		s.tickets.requestedAt = m.now
		m.advice.lastRequestAt = m.now
		m.emit(RequestAdvice{Step: s.id, Workers: workers, Cost: cost})
		return true
	}
	return false
}

// adviceCandidates returns the workers to name in an advice request: first those with free
// capacity that may be eligible, then those without that aren't known to be eligible.
// The set of eligible workers of a step never changes, so known ineligible ones aren't
// named again.
func (m *Machine) adviceCandidates(s *step) []endive.WorkerID {
	if s.spec.Gang {
		return m.gangAdviceCandidates(s)
	}
	var withCapacity, others []endive.WorkerID
	places := 0
	for _, w := range m.sortedWorkers {
		if !w.usable() || !w.couldRun(s) {
			continue
		}
		if s.tickets.valid(w.id, m.now) {
			continue
		}
		if workerPlaces := w.places(s); workerPlaces > 0 {
			withCapacity = append(withCapacity, w.id)
			places += workerPlaces
		} else if !s.tickets.isEligible(w.id) {
			others = append(others, w.id)
		}
	}
	if len(withCapacity) == 0 || places < m.minPlaces(s) {
		return nil
	}
	withCapacity = RotateByStep(withCapacity, s.id)
	m.sortByPreference(s, withCapacity)
	workers := append(withCapacity, others...)
	perWorker := max(1, places/len(withCapacity))
	limit := max(minAdviceWorkers, workersPerPlace*(s.waiting/perWorker+1))
	return workers[:min(len(workers), MaxAdviceWorkers, limit)]
}

// preferenceStep is the difference in score from which on a worker is named before another.
const preferenceStep = 1.0

// sortByPreference sorts workers by how well they suit a step, without regard to what runs there.
func (m *Machine) sortByPreference(s *step, ids []endive.WorkerID) {
	preference := make(map[endive.WorkerID]int, len(ids))
	for _, id := range ids {
		score := m.speedScore(s, m.workers[id])
		if s.prefersWorker(m.workers[id]) {
			score += scoreLocality
		}
		preference[id] = int(score / preferenceStep)
	}
	sort.SliceStable(ids, func(i, j int) bool { return preference[ids[i]] > preference[ids[j]] })
}

// RotateByStep rotates a list of workers by an offset that depends on the step, so that not
// all steps compete for the same workers.
func RotateByStep(workers []endive.WorkerID, id endive.StepID) []endive.WorkerID {
	if len(workers) == 0 {
		return nil
	}
	first := int(endive.Rendezvous("", string(id)) % uint64(len(workers)))
	return append(workers[first:len(workers):len(workers)], workers[:first]...)
}

const (
	// minAdviceWorkers is the minimum number of workers in an advice request, if there
	// are that many candidates.
	minAdviceWorkers = 16
	// workersPerPlace is how many workers an advice request names for each one that is
	// needed, because some of them are ineligible.
	workersPerPlace = 4
)

// minPlaces returns how many tasks must fit into the free capacity before an advice request
// for the step is worth its response time. Large steps start in several parts.
func (m *Machine) minPlaces(s *step) int {
	if s.tickets.requests == 0 || m.now.Sub(s.tickets.requestedAt) > adviceCooldown {
		return 1
	}
	cost := time.Duration(s.occ.job.policy.Advice.Base)
	return min((s.waiting+1)/2, 1+int(cost/costPerPlace))
}

const (
	// adviceCooldown is how long after its last request a step may request advice even if
	// only one task fits.
	adviceCooldown = 2500 * time.Millisecond
	// costPerPlace is the response time that is justified for each task that fits.
	costPerPlace = 60 * time.Millisecond
)

// handleAdviceResult applies the answer to an advice request of this holder.
func (m *Machine) handleAdviceResult(e AdviceResult) {
	m.advice.inFlightCost = max(0, m.advice.inFlightCost-e.Cost)
	s := m.findStep(e.Step)
	m.passDue = true
	if s == nil {
		return
	}
	s.tickets.inFlight = false
	if !e.OK {
		s.tickets.requestAfter = m.now.Add(adviceRetryDelay)
		m.logDecision(Decision{Kind: DecisionAdvice, Job: s.occ.job.id, Outcome: "none", Reason: "step " + string(e.Step) + ": no answer"})
		return
	}
	m.applyAdvice(s, e.Grants, IneligibleWorkers(e.Workers, e.Grants), e.Expiry, "requested "+m.now.Sub(s.tickets.requestedAt).Round(time.Millisecond).String()+" ago")
	if len(e.Grants) == 0 {
		s.tickets.requestAfter = m.now.Add(adviceRetryDelay)
	}
}

// IneligibleWorkers returns the workers of an advice request that are missing from the
// answer. They may never run the step.
func IneligibleWorkers(requested []endive.WorkerID, grants []endive.AdviceGrant) []endive.WorkerID {
	eligible := make(map[endive.WorkerID]bool, len(grants))
	for _, grant := range grants {
		eligible[grant.Worker] = true
	}
	var ineligible []endive.WorkerID
	for _, id := range requested {
		if !eligible[id] {
			ineligible = append(ineligible, id)
		}
	}
	sort.Slice(ineligible, func(i, j int) bool { return ineligible[i] < ineligible[j] })
	return ineligible
}

func (m *Machine) applyAdvice(s *step, grants []endive.AdviceGrant, ineligible []endive.WorkerID, expiry time.Time, origin string) {
	s.tickets.add(grants, ineligible, expiry)
	s.tickets.requestAfter = time.Time{}
	m.passDue = true
	m.logDecision(Decision{Kind: DecisionAdvice, Job: s.occ.job.id, Outcome: "taken", Reason: "step " + string(s.id) + ": " +
		formatInt(int64(len(grants))) + " good, " + formatInt(int64(len(ineligible))) + " bad workers, valid for " + expiry.Sub(m.now).Round(time.Millisecond).String() + ", " + origin})
}

// findStep returns the step with the given ID, or nil if the machine has no such step.
func (m *Machine) findStep(id endive.StepID) *step {
	t := m.tasks[endive.TaskID(string(id)+".0")]
	if t == nil {
		return nil
	}
	return t.step
}
