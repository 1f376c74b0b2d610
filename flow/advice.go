package flow

import (
	"sort"
	"time"

	"endiveroute.example/endive"
)

// advice is the state of the questions to the advice service, which answers each
// entry one after the other.
type advice struct {
	// asking is the cost of the questions on their way.
	asking endive.Interval
	// askedAt is when the newest of them was asked.
	askedAt time.Time
	// planned is the cost of those that the current look wants to ask.
	planned endive.Interval
	// wanted lists the steps that could use an answer, in the order of the pass.
	wanted []*step
	// nextAt is when the next question may be asked; zero for never.
	nextAt time.Time
	// room is what is left for the steps that come later in the pass, if those
	// before get what they ask for; short says that some found none.
	room  endive.Resources
	short bool
}

func (m *Machine) needsTicket(s *step) bool { return s.occ.job.policy.Advice.Required() }

// inheritedUnseen reports whether tasks of the job may run unseen, so that tickets
// for them would be of no use yet.
func (j *job) inheritedUnseen(m *Machine) bool { return j.inherited && !m.tenure.settled }

// adviceCost returns how long the largest question about a job's steps takes.
func (m *Machine) adviceCost(j *job) time.Duration {
	return time.Duration(j.policy.Advice.Cost(min(len(m.ordered), MaxAdviceWorkers)))
}

// foresee asks early for a step whose predecessors are about to end, since an
// answer takes as long as a part of a task.
func (m *Machine) foresee(s *step) {
	if !m.needsTicket(s) || s.tickets.onItsWay(m.now) || s.tickets.asks > 0 {
		return
	}
	cost := m.adviceCost(s.occ.job)
	for _, before := range s.spec.After {
		b := s.occ.steps[before]
		if b.unended == 0 {
			continue
		}
		if b.waiting > 0 || b.began.IsZero() {
			return
		}
		due := m.now.Add(m.remaining(b) - cost - foresight)
		if due.After(m.now) {
			m.passAgain(due)
			return
		}
	}
	m.advice.wanted = append(m.advice.wanted, s)
}

// surveyAhead asks about a step that can't start yet, since its tasks may run unseen. The
// load: a takeover with hundreds of workflows, while one worker doesn't answer. Which
// workers are good stays true until it does.
func (m *Machine) surveyAhead(s *step) {
	if m.needsTicket(s) && !s.tickets.surveyed() && !s.tickets.onItsWay(m.now) {
		m.plan(s, m.surveySize(s))
	}
}

const (
	// foresight is how much earlier than needed advice is asked for.
	foresight = 200 * time.Millisecond
	// MaxAdviceWorkers is how many workers a question may name.
	MaxAdviceWorkers = 100
)

// ask asks for the first steps that can use an answer, as many as the entries that
// help can ask for soon.
func (m *Machine) ask() {
	m.advice.nextAt = time.Time{}
	if m.now.Sub(m.advice.askedAt) > adviceLost {
		m.advice.asking = 0
	}
	for m.advice.asking < m.mayAsk() {
		if !m.askOne() {
			return
		}
	}
}

// mayAsk returns how much of the advice service's time may be asked for at once.
func (m *Machine) mayAsk() endive.Interval {
	return askAhead * endive.Interval(max(1, m.helpers))
}

// askAhead is how much of the advice service's time may be asked for at once, for
// each entry that asks. The longest questions take about a second, and less would leave
// entries without a question while work waits for its answers.
const askAhead = endive.Interval(450 * time.Millisecond)

// adviceLost is when a question that has no answer is given up. Each is answered or
// failed long before, unless its answer is lost.
const adviceLost = 6 * time.Second

// askAheadOf is how far ahead room is foreseen: about as long as an answer takes.
const askAheadOf = 200 * time.Millisecond

// askOne asks for one step, and reports whether it did.
func (m *Machine) askOne() bool {
	if len(m.advice.wanted) == 0 {
		return false
	}
	for i, s := range m.advice.wanted {
		if m.now.Before(s.tickets.askAt) {
			m.advice.nextAt = endive.Earliest(m.advice.nextAt, s.tickets.askAt)
			continue
		}
		workers := m.askAbout(s)
		if len(workers) == 0 {
			continue
		}
		m.advice.wanted = append(m.advice.wanted[:i:i], m.advice.wanted[i+1:]...)
		cost := s.occ.job.policy.Advice.Cost(len(workers))
		m.advice.asking += cost
		s.tickets.asking = true
		s.tickets.asks++
		s.tickets.askedAt = m.now
		m.advice.askedAt = m.now
		m.emit(RequestAdvice{Step: s.id, Workers: workers, Cost: cost})
		return true
	}
	return false
}

// askAbout returns the workers to name: those with room that may be good, and all
// others of which nothing is known yet if no question was asked before. Which
// workers are good never changes for a step, so bad ones aren't named again.
func (m *Machine) askAbout(s *step) []endive.WorkerID {
	if s.spec.Gang {
		return m.askAboutGang(s)
	}
	var roomy, others []endive.WorkerID
	places := 0
	for _, w := range m.ordered {
		if !w.usable() || !w.couldRun(s) {
			continue
		}
		if s.tickets.valid(w.id, m.now) {
			continue
		}
		if here := w.places(s); here > 0 {
			roomy = append(roomy, w.id)
			places += here
		} else if !s.tickets.known(w.id) {
			others = append(others, w.id)
		}
	}
	if len(roomy) == 0 || places < m.placesWorth(s) {
		return nil
	}
	roomy = RotateByStep(roomy, s.id)
	sort.SliceStable(roomy, func(i, j int) bool {
		return s.suitsWay(m.workers[roomy[i]]) && !s.suitsWay(m.workers[roomy[j]])
	})
	workers := append(roomy, others...)
	perWorker := max(1, places/len(roomy))
	wanted := max(minAdviceWorkers, workersPerPlace*(s.waiting/perWorker+1))
	return workers[:min(len(workers), MaxAdviceWorkers, wanted)]
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

// placesWorth returns for how many tasks there has to be room for a question about
// a step to be worth its time, since large steps start part by part.
func (m *Machine) placesWorth(s *step) int {
	if s.tickets.asks == 0 || m.now.Sub(s.tickets.askedAt) > adviceRest {
		return 1
	}
	cost := time.Duration(s.occ.job.policy.Advice.Base)
	return min((s.waiting+1)/2, 1+int(cost/costOfPlace))
}

const (
	// adviceRest is how long after the last question a step may ask for any place.
	adviceRest = 2500 * time.Millisecond
	// costOfPlace is how much of the advice service's time a place is worth.
	costOfPlace = 60 * time.Millisecond
)

// advised takes in an answer to this entry's own question.
func (m *Machine) advised(e AdviceResult) {
	m.advice.asking = max(0, m.advice.asking-e.Cost)
	s := m.stepOf(e.Step)
	m.passDue = true
	if s == nil {
		return
	}
	s.tickets.asking = false
	if !e.OK {
		s.tickets.askAt = m.now.Add(adviceRetry)
		m.note(Decision{Kind: DecisionAdvice, Job: s.occ.job.id, Outcome: "none", Reason: "step " + string(e.Step) + ": no answer"})
		return
	}
	m.takeAdvice(s, e.Grants, IneligibleWorkers(e.Workers, e.Grants), e.Expiry, "asked "+m.now.Sub(s.tickets.askedAt).Round(time.Millisecond).String()+" ago")
	if len(e.Grants) == 0 {
		s.tickets.askAt = m.now.Add(adviceRetry)
	}
}

// IneligibleWorkers returns the workers that were named in a question and aren't in its
// answer; they never may run the step.
func IneligibleWorkers(asked []endive.WorkerID, good []endive.AdviceGrant) []endive.WorkerID {
	isGood := make(map[endive.WorkerID]bool, len(good))
	for _, one := range good {
		isGood[one.Worker] = true
	}
	var bad []endive.WorkerID
	for _, id := range asked {
		if !isGood[id] {
			bad = append(bad, id)
		}
	}
	sort.Slice(bad, func(i, j int) bool { return bad[i] < bad[j] })
	return bad
}

func (m *Machine) takeAdvice(s *step, good []endive.AdviceGrant, bad []endive.WorkerID, until time.Time, origin string) {
	s.tickets.take(good, bad, until)
	s.tickets.askAt = time.Time{}
	m.passDue = true
	m.note(Decision{Kind: DecisionAdvice, Job: s.occ.job.id, Outcome: "taken", Reason: "step " + string(s.id) + ": " +
		number(int64(len(good))) + " good, " + number(int64(len(bad))) + " bad, for " + until.Sub(m.now).Round(time.Millisecond).String() + ", " + origin})
}

// stepOf returns a step that is still of interest.
func (m *Machine) stepOf(id endive.StepID) *step {
	t := m.tasks[endive.TaskID(string(id)+".0")]
	if t == nil {
		return nil
	}
	return t.step
}
