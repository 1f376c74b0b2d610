package flow

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// countRows returns the number of rows whose keys begin with prefix.
func (w *simulation) countRows(prefix string) int {
	count := 0
	for key := range w.rows {
		if strings.HasPrefix(key, prefix) {
			count++
		}
	}
	return count
}

// A holder stops after hundreds of short workflows have ended. The next holder must find no
// rows of live work and start none of the workflows again, and the state of each workflow must
// still be readable.
func TestSuccessorReadsLiveWorkOnly(t *testing.T) {
	is := is.New(t)
	const workflows = 300
	w, h := newSimulationWithHolder(t, faults{}, 6)
	for i := range workflows {
		w.submit(fmt.Sprintf("job%d", i), urgentQueue, stepOfTasks(1, 100*time.Millisecond))
		w.run(w.now.Add(30 * time.Millisecond).Sub(w.start))
	}
	w.run(w.now.Add(5 * time.Second).Sub(w.start))
	is.Equal(w.countRows(WorkPrefix(testPool)), 0)
	is.Equal(w.countRows(StatePrefix(testPool)), 0)
	starts := w.starts
	h.dead = true
	w.startHolder()
	w.run(w.now.Add(5 * time.Second).Sub(w.start))
	w.checkViolations()
	is.Equal(w.starts, starts)
	for i := range workflows {
		is.Equal(w.state(endive.JobID(fmt.Sprintf("job%d", i))), endive.WorkflowSucceeded)
	}
}

// A holder stops just after many workflows have ended and before they are archived. The next
// holder must archive them and start none again.
func TestSuccessorArchivesEndedWork(t *testing.T) {
	is := is.New(t)
	const workflows = 40
	w, h := newSimulationWithHolder(t, faults{}, 6)
	for i := range workflows {
		w.submit(fmt.Sprintf("job%d", i), urgentQueue, stepOfTasks(1, 100*time.Millisecond))
	}
	w.run(w.now.Add(900 * time.Millisecond).Sub(w.start))
	is.True(w.countRows(WorkPrefix(testPool)) > 0)
	h.dead = true
	w.startHolder()
	w.run(w.now.Add(10 * time.Second).Sub(w.start))
	w.checkViolations()
	is.Equal(w.starts, workflows)
	is.Equal(w.countRows(WorkPrefix(testPool)), 0)
	is.Equal(w.countRows(StatePrefix(testPool)), 0)
	is.Equal(w.countRows(EndedPrefix(testPool)), workflows)
}

// An archived state must be deleted after the retention period, also if the workflow ended
// before the tenure.
func TestArchivedStatesAreDeleted(t *testing.T) {
	is := is.New(t)
	w, h := newSimulationWithHolder(t, faults{}, 3)
	w.submit("job1", urgentQueue, stepOfTasks(1, 100*time.Millisecond))
	w.run(5 * time.Second)
	is.Equal(w.countRows(EndedPrefix(testPool)), 1)
	h.dead = true
	next := w.startHolder()
	w.run(6 * time.Second)
	next.send(EndedJobsLoaded{Epoch: next.epoch, Jobs: []endive.JobID{"job1"}})
	w.run(4 * time.Minute)
	is.Equal(w.countRows(EndedPrefix(testPool)), 0)
	is.Equal(w.countRows(tableAccepted), 0)
}

// A workflow is cancelled before it is stored. Its cancellation holds for whatever an entry stores later,
// also after a takeover or a hand-over, and its rows are deleted in the end.
func TestEarlyCancellationIsKeptAndDeleted(t *testing.T) {
	changes := map[string]func(w *simulation, h *holder){
		"takeover":  func(w *simulation, h *holder) { h.kill(); w.startHolder() },
		"hand-over": func(_ *simulation, h *holder) { h.handOver() },
	}
	for name, change := range changes {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			w := newSimulation(t, 1, faults{})
			w.addWorkers(2)
			w.apply(RevokeTransaction(testPool, nil, "job", ""))
			w.apply(RevokeTransaction(testPool, nil, "never", ""))
			h := w.startHolder()
			w.run(time.Second)
			change(w, h)
			w.run(2 * time.Second)
			is.True(w.apply(SubmitTransaction(testPool, nil, "job", "", []byte("{}"))).Status == endive.CommitConflict)
			// An entry of an earlier build doesn't look at the row of the id.
			id := w.submit("job", urgentQueue, stepOfTasks(2, 700*time.Millisecond))
			w.run(4 * time.Second)
			is.Equal(w.starts, 0)
			is.Equal(w.state(id), endive.WorkflowCancelled)
			w.run(2*time.Second + 2*testRetention)
			w.checkViolations()
			is.Equal(w.countRows(WorkPrefix(testPool)), 0)
			is.Equal(w.countRows(tableIDs), 0)
		})
	}
}
