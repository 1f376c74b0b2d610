package flow

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// In a pool of 3000 workers, no row that the holder writes may exceed the store's limit, and
// adding a worker must write only one row of the roster.
func TestRosterRowSize(t *testing.T) {
	is := is.New(t)
	const workers, rowBytes = 3000, 64 << 10
	w := newSimulation(t, 1, faults{})
	for i := range workers {
		worker := &fakeWorker{sim: w, id: endive.WorkerID(fmt.Sprintf("i-%010x", i))}
		worker.startIncarnation(endive.Resources{Processors: 32000}, nil)
		worker.info.Address = endive.Address(fmt.Sprintf("10.201.%d.%d:12345", i/256, i%256))
		w.workers[worker.id] = worker
	}
	w.publishWorkers()
	h := w.startHolder()
	w.run(2 * time.Second)
	for key, row := range w.rows {
		if len(row.Value) > rowBytes {
			t.Fatalf("%s has %d bytes", key, len(row.Value))
		}
	}
	is.Equal(len(h.machine.recorder.roster), workers)
	before := w.version
	w.addWorker("i-new", endive.Resources{Processors: 32000})
	w.run(3 * time.Second)
	is.Equal(h.machine.recorder.roster["i-new"], rosterPresent)
	written := 0
	for key, row := range w.rows {
		if row.Version > before && len(key) > len(RosterPrefix(testPool)) && key[:len(RosterPrefix(testPool))] == RosterPrefix(testPool) {
			written++
		}
	}
	is.Equal(written, 1)
	second := w.startHolder()
	w.run(10 * time.Second)
	is.Equal(len(second.machine.recorder.roster), workers+1)
}
