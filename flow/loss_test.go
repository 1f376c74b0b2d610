package flow

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// cutOffUnder runs until a task has started, and cuts its worker off for 7 s just after that.
func (w *simulation) cutOffUnder(id endive.TaskID) {
	for range 1500 {
		for _, worker := range w.workers {
			if worker.runs[id] != nil && !worker.unreachable {
				w.run(w.now.Add(20 * time.Millisecond).Sub(w.start))
				worker.unreachable = true
				w.after(7*time.Second, func() { worker.unreachable = false })
				return
			}
		}
		w.run(w.now.Add(10 * time.Millisecond).Sub(w.start))
	}
	w.t.Fatalf("%s doesn't start", id)
}

// Workers that were only silent after the starts of a task counted as crashed, and the task was
// given up.
func TestSilentWorkersCountAsCrashed(t *testing.T) {
	for _, takeovers := range []bool{false, true} {
		t.Run(fmt.Sprintf("takeovers %t", takeovers), func(t *testing.T) {
			is := is.New(t)
			w, h := newSimulationWithHolder(t, faults{}, 12)
			w.trace = *followTasks
			job := w.submit("job", urgentQueue, stepOfTasks(1, 6*time.Second))
			for range 5 {
				w.cutOffUnder("job.0.0.0")
				if takeovers {
					w.run(w.now.Add(2 * time.Second).Sub(w.start))
					h.kill()
					h = w.startHolder()
				}
			}
			w.run(w.now.Add(16 * time.Second).Sub(w.start))
			w.checkViolations()
			w.checkNoneFailed()
			is.Equal(w.state(job), endive.WorkflowSucceeded)
			is.Equal(w.crashDecisions("suspect"), 0)
		})
	}
}

// A worker that was first silent and whose crash became known only after its leases had expired
// must still count.
func TestCrashKnownAfterLeasesExpired(t *testing.T) {
	is := is.New(t)
	w, _ := newSimulationWithHolder(t, faults{}, 12)
	w.submit("job", urgentQueue, stepOfTasks(1, 6*time.Second))
	w.cutOffUnder("job.0.0.0")
	w.run(w.now.Add(6500 * time.Millisecond).Sub(w.start))
	is.Equal(w.crashDecisions("suspect"), 0)
	for _, worker := range w.workers {
		if worker.unreachable {
			worker.restart()
		}
	}
	w.run(w.now.Add(3 * time.Second).Sub(w.start))
	is.Equal(w.crashDecisions("suspect"), 1)
}

// crashDecisions counts the holders' decisions about suspects with an outcome.
func (w *simulation) crashDecisions(outcome string) int {
	count := 0
	for _, h := range w.holders {
		count += h.endOutcomes[outcome]
	}
	return count
}
