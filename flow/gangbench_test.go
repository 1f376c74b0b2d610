package flow

import (
	"fmt"
	"testing"
	"time"

	"endiveroute.example/endive"
)

// BenchmarkGangBacklog measures the machine's steps in a large pool in which gangs wait beside
// small and wide steps.
func BenchmarkGangBacklog(b *testing.B) {
	for range b.N {
		benchGangBacklog(b)
	}
}

func benchGangBacklog(b *testing.B) {
	const workers, seconds = 350, 12
	w := newSimulation(nil, 1, faults{})
	for i := range workers {
		worker := &fakeWorker{sim: w, id: endive.WorkerID(fmt.Sprintf("w%03d", i))}
		worker.startIncarnation(endive.Resources{Processors: 64000, Memory: 128 * endive.GiB}, []endive.Label{endive.Label(fmt.Sprintf("rack%d", i/12))})
		w.workers[worker.id] = worker
	}
	w.publishWorkers()
	w.eligibleShare = map[endive.QueueName]float64{gangQueue.Name: 0.3, wideQueue.Name: 0.5, urgentQueue.Name: 1}
	h := w.startHolder()
	h.machine.adviceClients = 31
	w.run(500 * time.Millisecond)
	small := stepOfTasks(3, time.Second)
	small.Need.Processors = 9900
	wide := stepOfTasks(25, 2700*time.Millisecond)
	wide.Need.Processors = 6900
	for tick := range seconds * 50 {
		w.run(500*time.Millisecond + time.Duration(tick)*20*time.Millisecond)
		for i := range 2 {
			w.submit(fmt.Sprintf("small%d-%d", tick, i), urgentQueue, small)
		}
		if tick%4 == 0 {
			w.submit(fmt.Sprintf("wide%d", tick), wideQueue, wide)
		}
		if tick%8 == 0 {
			gang := stepOfTasks(20+tick%41, 4*time.Second)
			gang.Need.Processors, gang.Gang = 18000, true
			w.submit(fmt.Sprintf("gang%d", tick), gangQueue, gang)
		}
	}
	w.run((seconds + 1) * time.Second)
	b.ReportMetric(h.stepTime.Seconds()*1000/seconds, "ms/s")
	b.ReportMetric(float64(w.starts)/seconds, "starts/s")
	b.ReportMetric(float64(len(h.machine.jobs)), "jobs")
}
