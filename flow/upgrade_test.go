package flow

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
)

// rewriteRosterAsEarlierBuild rewrites the rows of the roster as a holder writes them that knows
// only the ids and addresses of the workers.
func (w *simulation) rewriteRosterAsEarlierBuild() {
	for key, row := range w.rows {
		if !strings.HasPrefix(key, RosterPrefix(testPool)) {
			continue
		}
		var roster Roster
		if err := decodeRow(row.Value, &roster); err != nil {
			w.t.Fatal(err)
		}
		for i, worker := range roster.Workers {
			roster.Workers[i] = RosterWorker{ID: worker.ID, Address: worker.Address, Draining: worker.Draining}
		}
		row.Value = encodeRow(roster)
		w.rows[key] = row
	}
}

// A worker that is in the roster of an earlier build, without its capacity, and isn't listed any
// more may run tasks: they must count against the account's cap.
func TestCapExceededAfterRosterWithoutCapacity(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 1, faults{})
	w.accounts = faultAccounts()
	w.addWorkers(1)
	h := w.startHolder()
	w.run(time.Second)
	long := stepOfTasks(5, 20*time.Second)
	long.Checkpoints = true
	w.submitFor("a", "long", urgentQueue, long)
	w.run(1500 * time.Millisecond)
	is.Equal(w.runningTasks("long"), 5)
	w.workers["w0"].unreachable, w.workers["w0"].unlisted = true, true
	h.kill()
	w.addWorker("other", w.workers["w0"].info.Capacity)
	w.rewriteRosterAsEarlierBuild()
	w.startHolder()
	w.run(2 * time.Second)
	w.submitFor("a", "later", urgentQueue, stepOfTasks(5, 700*time.Millisecond))
	w.run(2400 * time.Millisecond)
	is.Equal(w.runningTasks("long"), 5)
	is.Equal(w.runningTasks("later"), 1)
	w.checkViolations()
}
