package flow

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
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

// A holder of a build without accounts has recorded the end of a workflow. The row of the archived
// workflow must name the account again.
func TestAccountMissingInArchivedProgress(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 1, faults{})
	w.accounts = faultAccounts()
	w.addWorkers(2)
	h := w.startHolder()
	w.run(time.Second)
	w.submitFor("a", "job", urgentQueue, stepOfTasks(1, 300*time.Millisecond))
	w.run(1600 * time.Millisecond)
	h.kill()
	row := w.rows[StateKey(testPool, "job")]
	row.Value = []byte(`{"state":"succeeded"}`)
	w.rows[StateKey(testPool, "job")] = row
	w.startHolder()
	w.run(20 * time.Second)
	var ended Progress
	is.NoErr(decodeRow(w.rows[EndedKey(testPool, "job")].Value, &ended))
	is.Equal(ended.State, endive.WorkflowSucceeded)
	is.Equal(ended.Account, endive.AccountName("a"))
}

// A holder hands over a row that it has only read, with fields of a later build: the next holder,
// of that build, must get them.
func TestHandOverDropsFieldsOfLaterBuild(t *testing.T) {
	is := is.New(t)
	w, h := newSimulationWithHolder(t, faults{}, 1)
	id := w.submit("job", urgentQueue, stepOfTasks(40, 20*time.Second))
	w.run(3 * time.Second)
	h.kill()
	row := w.rows[StateKey(testPool, id)]
	row.Value = withUnknownFields(t, row.Value)
	w.rows[row.Key] = row
	second := w.startHolder()
	w.run(3500 * time.Millisecond)
	snapshot := second.machine.snapshot()
	is.Equal(len(snapshot.StateRows), 1)
	is.Equal(string(snapshot.StateRows[0].Value), string(row.Value))
}
