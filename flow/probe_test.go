package flow

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// pollsOf returns the polls among actions.
func pollsOf(actions []endive.Action) []PollWorker {
	var polls []PollWorker
	for _, action := range actions {
		if poll, ok := action.(PollWorker); ok {
			polls = append(polls, poll)
		}
	}
	return polls
}

// A new holder of a pool of 3,000 workers must not poll all of them at once, and must have
// probed each of them in the end, also if half of them fail to answer or are removed meanwhile.
func TestProbesAreLimited(t *testing.T) {
	is := is.New(t)
	const workers = 3000
	w := newSimulation(t, 1, faults{})
	h := w.startHolder()
	m := h.machine
	now := w.start
	listed := WorkersListed{}
	for i := range workers {
		listed.Workers = append(listed.Workers, endive.FleetWorker{ID: endive.WorkerID(fmt.Sprintf("w%04d", i)), Capacity: endive.Resources{Processors: 1000}})
	}
	m.Step(now, listed)
	m.Step(now, TenureBegan{Epoch: 1, LeaseEnd: now.Add(time.Hour)})
	pending := pollsOf(m.Step(now, PoolSnapshot{Epoch: 1}))
	is.Equal(len(pending), maxProbes)
	answered := make(map[endive.WorkerID]bool)
	for i := 0; len(pending) > 0 && len(answered) < workers; i++ {
		now = now.Add(time.Millisecond)
		id, poll := pending[0].Order.Worker.ID, pending[0].Poll
		pending = pending[1:]
		result := PollResult{Worker: id, Poll: poll, Result: OrderAnswered, Report: endive.PollReport{Clock: endive.WorkerTime(i + 1)}}
		if i%2 == 0 && !answered[id] && i < 2*workers {
			result = PollResult{Worker: id, Poll: poll, Result: OrderUnknown}
		} else {
			answered[id] = true
		}
		pending = append(pending, pollsOf(m.Step(now, result))...)
		is.True(len(m.probes.inFlight) <= maxProbes)
		if len(pending) == 0 {
			now = now.Add(time.Second)
			pending = pollsOf(m.Step(now, endive.Wake{}))
		}
	}
	is.Equal(len(answered), workers)
	is.True(m.tenure.takeoverDone)
}

// A holder that is short of processor time misses a worker's answers until the leases there
// have expired. The run had succeeded before. Its success must count as soon as the worker
// answers, and the task must not run again.
func TestSuccessOfRunOnSilentWorkerCounts(t *testing.T) {
	is := is.New(t)
	w, _, id := newSimulationWithRun(t, 1)
	worker := w.workers["w0"]
	// Only the answers are missing: the run goes on, and ends.
	w.faults.lostAnswer = 1
	w.run(8 * time.Second)
	is.True(w.starts >= 1)
	starts := w.starts
	w.faults.lostAnswer = 0
	worker.unreachable = false
	w.run(20 * time.Second)
	is.Equal(w.state(id), endive.WorkflowSucceeded)
	is.Equal(w.starts, starts)
	is.Equal(w.successCount["job.0.0.0"], 1)
}

// While the holder can't probe all workers that don't answer, an expired lease alone doesn't end
// the wait for a worker's report.
func TestOverloadedHolderAsksBeforeItGivesRunsUp(t *testing.T) {
	is := is.New(t)
	w, h, id := newSimulationWithRun(t, 1)
	m := h.machine
	for i := range maxProbes {
		m.probes.inFlight[endive.WorkerID(fmt.Sprintf("slow%d", i))] = 1
	}
	w.faults.lostAnswer = 1
	w.run(9 * time.Second) // the leases have expired, and the worker waits for a probe
	w.faults.lostAnswer = 0
	m.probes.inFlight = make(map[endive.WorkerID]PollID)
	m.probes.inFlight["slow"] = m.tenure.firstPoll
	h.step(PollResult{Worker: "slow", Poll: m.tenure.firstPoll, Result: OrderUnknown})
	w.run(12 * time.Second)
	is.Equal(w.state(id), endive.WorkflowSucceeded)
	is.Equal(w.starts, 1)
}

// A task starts on an idle worker. The worker must be polled once it has answered the order, not
// beside it: with thousands of workers, a second connection to each is more than a holder can open
// in time.
func TestPollFollowsStart(t *testing.T) {
	is := is.New(t)
	w, h := newSimulationWithHolder(t, faults{}, 1)
	w.submit("job", urgentQueue, stepOfTasks(1, 700*time.Millisecond))
	m := h.machine
	polls, starts := 0, 0
	for range 100 {
		w.run(w.now.Add(time.Millisecond).Sub(w.start))
		if worker := m.workers["w0"]; len(worker.runs) > 0 {
			for _, r := range worker.runs {
				if r.state == runStarting {
					starts++
					if worker.poll.inFlight {
						polls++
					}
				}
			}
		}
	}
	is.True(starts > 0)
	is.Equal(polls, 0)
	is.True(m.workers["w0"].poll.inFlight)
}
