package flow

import (
	"sort"
	"time"

	"endiveroute.example/endive"
)

// adviceState is the state of the questions to the advice service, which answers each
// entry one after the other.
type adviceState struct {
	// inFlightCost is the cost of the questions on their way.
	inFlightCost endive.Interval
	// lastRequestAt is when the newest of them was asked.
	lastRequestAt time.Time
	// plannedCost is the cost of those that the current look wants to ask.
	plannedCost endive.Interval
	// steps lists the steps that could use an answer, in the order of the pass.
	steps []*step
	// nextAt is when the next question may be asked; zero for never.
	nextAt time.Time
	// freeCapacity is what is left for the steps that come later in the pass, if those
	// before get what they ask for; shortOfCapacity says that some found none.
	freeCapacity    endive.Resources
	shortOfCapacity bool
}

func (m *Machine) needsTicket(s *step) bool { return s.occ.job.policy.Advice.Required() }

// awaitsTakeover reports whether tasks of the job may run unseen, so that tickets
// for them would be of no use yet.
func (j *job) awaitsTakeover(m *Machine) bool { return j.inherited && !m.tenure.takeoverDone }

// adviceCost returns how long the largest question about a job's steps takes.
func (m *Machine) adviceCost(j *job) time.Duration {
	return time.Duration(j.policy.Advice.Cost(min(len(m.sortedWorkers), MaxAdviceWorkers)))
}

// requestAdviceEarly asks early for a step whose predecessors are about to end, since an
// answer takes as long as a part of a task.
func (m *Machine) requestAdviceEarly(s *step) {
	if !m.needsTicket(s) || s.tickets.requestInFlight(m.now) || s.tickets.requests > 0 {
		return
	}
	cost := m.adviceCost(s.occ.job)
	for _, before := range s.spec.After {
		predecessor := s.occ.steps[before]
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

// surveyDuringTakeover asks about a step that can't start yet, since its tasks may run unseen. The
// load: a takeover with hundreds of workflows, while one worker doesn't answer. Which
// workers are good stays true until it does.
func (m *Machine) surveyDuringTakeover(s *step) {
	if m.needsTicket(s) && !s.tickets.surveyed() && !s.tickets.requestInFlight(m.now) {
		m.planRequest(s, m.surveySize(s))
	}
}

const (
	// earlyRequestMargin is how much earlier than needed advice is asked for.
	earlyRequestMargin = 200 * time.Millisecond
	// MaxAdviceWorkers is how many workers a question may name.
	MaxAdviceWorkers = 100
)

// sendAdviceRequests asks for the first steps that can use an answer, as many as the entries that
// help can ask for soon.
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

// maxInFlightCost returns how much of the advice service's time may be asked for at once.
func (m *Machine) maxInFlightCost() endive.Interval {
	return inFlightCostPerClient * endive.Interval(max(1, m.adviceClients))
}

// inFlightCostPerClient is how much of the advice service's time may be asked for at once, for
// each entry that asks. The longest questions take about a second, and less would leave
// entries without a question while work waits for its answers.
const inFlightCostPerClient = endive.Interval(450 * time.Millisecond)

// adviceTimeout is when a question that has no answer is given up. Each is answered or
// failed long before, unless its answer is lost.
const adviceTimeout = 6 * time.Second

// freeingHorizon is how far ahead room is foreseen: about as long as an answer takes.
const freeingHorizon = 200 * time.Millisecond

// sendAdviceRequest asks for one step, and reports whether it did.
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

// adviceCandidates returns the workers to name: those with room that may be good, and all
// others of which nothing is known yet if no question was asked before. Which
// workers are good never changes for a step, so bad ones aren't named again.
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
	sort.SliceStable(withCapacity, func(i, j int) bool {
		return s.prefersWorker(m.workers[withCapacity[i]]) && !s.prefersWorker(m.workers[withCapacity[j]])
	})
	workers := append(withCapacity, others...)
	perWorker := max(1, places/len(withCapacity))
	limit := max(minAdviceWorkers, workersPerPlace*(s.waiting/perWorker+1))
	return workers[:min(len(workers), MaxAdviceWorkers, limit)]
}

// RotateByStep returns a list that begins at a place which differs from step to step, so that
// steps don't all want the same workers.
func RotateByStep(workers []endive.WorkerID, id endive.StepID) []endive.WorkerID {
	if len(workers) == 0 {
		return nil
	}
	first := int(endive.Rendezvous("", string(id)) % uint64(len(workers)))
	return append(workers[first:len(workers):len(workers)], workers[:first]...)
}

const (
	// minAdviceWorkers is how many workers a question names at least, as far as
	// there are so many.
	minAdviceWorkers = 16
	// workersPerPlace is how many workers a question names for each that is needed,
	// since a part of them isn't good for the step.
	workersPerPlace = 4
)

// minPlaces returns for how many tasks there has to be room for a question about
// a step to be worth its time, since large steps start part by part.
func (m *Machine) minPlaces(s *step) int {
	if s.tickets.requests == 0 || m.now.Sub(s.tickets.requestedAt) > adviceCooldown {
		return 1
	}
	cost := time.Duration(s.occ.job.policy.Advice.Base)
	return min((s.waiting+1)/2, 1+int(cost/costPerPlace))
}

const (
	// adviceCooldown is how long after the last question a step may ask for any place.
	adviceCooldown = 2500 * time.Millisecond
	// costPerPlace is how much of the advice service's time a place is worth.
	costPerPlace = 60 * time.Millisecond
)

// handleAdviceResult takes in an answer to this entry's own question.
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
	m.applyAdvice(s, e.Grants, IneligibleWorkers(e.Workers, e.Grants), e.Expiry, "asked "+m.now.Sub(s.tickets.requestedAt).Round(time.Millisecond).String()+" ago")
	if len(e.Grants) == 0 {
		s.tickets.requestAfter = m.now.Add(adviceRetryDelay)
	}
}

// IneligibleWorkers returns the workers that were named in a question and aren't in its
// answer; they never may run the step.
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
		formatInt(int64(len(grants))) + " good, " + formatInt(int64(len(ineligible))) + " bad, for " + expiry.Sub(m.now).Round(time.Millisecond).String() + ", " + origin})
}

// findStep returns a step that is still of interest.
func (m *Machine) findStep(id endive.StepID) *step {
	t := m.tasks[endive.TaskID(string(id)+".0")]
	if t == nil {
		return nil
	}
	return t.step
}
