package flow

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// The advice for a workflow's first step arrives before or after the workflow itself. In both
// cases the holder must start the step with this advice and send no request of its own.
func TestForwardedAdvice(t *testing.T) {
	for _, delay := range []time.Duration{0, 100 * time.Millisecond} {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			is := is.New(t)
			w, h := newSimulationWithHolder(t, faults{lostAdvice: 1}, 3)
			advice := ForwardedAdvice{
				Step: "job1.0.0", Grants: []endive.AdviceGrant{{Worker: "w1", Ticket: "ticket"}}, Ineligible: []endive.WorkerID{"w0", "w2"},
				Expiry: w.now.Add(1500 * time.Millisecond),
			}
			if delay == 0 {
				h.step(advice)
			}
			w.forwardsAdvice = true
			id := w.submit("job1", adviceQueue, stepOfTasks(2, 500*time.Millisecond))
			w.after(delay, func() { h.step(advice) })
			w.run(time.Second + delay + 10*time.Millisecond)
			is.Equal(w.starts, 2)
			is.Equal(len(h.machine.earlyAdvice), 0)
			w.run(3 * time.Second)
			w.checkViolations()
			is.Equal(w.state(id), endive.WorkflowSucceeded)
		})
	}
}

// If the advice that the accepting entry requested never arrives, the holder must send its
// own request in time.
func TestLostForwardedAdvice(t *testing.T) {
	is := is.New(t)
	w, _ := newSimulationWithHolder(t, faults{}, 3)
	w.forwardsAdvice = true
	id := w.submit("job1", adviceQueue, stepOfTasks(2, 500*time.Millisecond))
	w.run(1300 * time.Millisecond)
	is.Equal(w.starts, 0)
	w.run(1700 * time.Millisecond)
	is.Equal(w.starts, 2)
	w.run(3 * time.Second)
	w.checkViolations()
	is.Equal(w.state(id), endive.WorkflowSucceeded)
}

// The number of answers that are kept for workflows which never arrive must stay within
// maxEarlyAdvice.
func TestEarlyAdviceIsBounded(t *testing.T) {
	is := is.New(t)
	w, h := newSimulationWithHolder(t, faults{}, 1)
	for i := range 3 * maxEarlyAdvice {
		h.step(ForwardedAdvice{Step: endive.StepID(fmt.Sprintf("job%d.0.0", i)), Expiry: w.now.Add(time.Second)})
	}
	is.Equal(len(h.machine.earlyAdvice), maxEarlyAdvice)
	w.run(3 * time.Second)
	h.step(ForwardedAdvice{Step: "job9999.0.0", Expiry: w.now.Add(time.Second)})
	is.Equal(len(h.machine.earlyAdvice), 1)
}
