package flow

import (
	"fmt"
	"testing"
	"time"

	"endiveroute.example/endive"
)

// BenchmarkPool simulates a small and a large pool under their usual load, and reports how
// long the calls of Machine.Step take: milliseconds for each second of simulated time.
func BenchmarkPool(b *testing.B) {
	for _, workers := range []int{35, 252} {
		b.Run(fmt.Sprintf("workers=%d", workers), func(b *testing.B) {
			for range b.N {
				benchPool(b, workers)
			}
		})
	}
}

func benchPool(b *testing.B, workers int) {
	const seconds = 10
	w := newSimulation(nil, 1, faults{failedTask: 0.02})
	for i := range workers {
		worker := &fakeWorker{sim: w, id: endive.WorkerID(fmt.Sprintf("w%d", i))}
		worker.startIncarnation(endive.Resources{Processors: 32000, Memory: 64 * endive.GiB}, nil)
		w.workers[worker.id] = worker
	}
	w.publishWorkers()
	h := w.startHolder()
	h.machine.adviceClients = 12
	w.run(500 * time.Millisecond)
	small := stepOfTasks(10, 700*time.Millisecond)
	small.Need.Processors = 5300
	large := stepOfTasks(22, 4500*time.Millisecond)
	large.Need.Processors = 9000
	jobs := 0
	for tick := range seconds * 50 {
		w.run(500*time.Millisecond + time.Duration(tick)*20*time.Millisecond)
		for range (37*workers/252*(tick+1))/50 - (37*workers/252*tick)/50 {
			w.submit(fmt.Sprintf("s%d", jobs), adviceQueue, small)
			jobs++
		}
		if tick%23 == 0 {
			w.submit(fmt.Sprintf("l%d", jobs), adviceQueue, large, large)
			jobs++
		}
	}
	w.run((seconds + 1) * time.Second)
	b.ReportMetric(h.stepTime.Seconds()*1000/seconds, "ms/s")
	b.ReportMetric(float64(h.machine.stepCount)/seconds, "steps/s")
	b.ReportMetric(float64(w.starts)/seconds, "starts/s")
}

// BenchmarkPassWithAccounts measures a scheduling pass over 13,000 waiting workflows, without
// accounts and with 400 that have caps, a tenth of which are reached.
func BenchmarkPassWithAccounts(b *testing.B) {
	for _, accounts := range []int{0, 400} {
		b.Run(fmt.Sprintf("accounts=%d", accounts), func(b *testing.B) {
			w, h := passWithAccounts(b, accounts)
			for b.Loop() {
				h.machine.passDue = true
				h.machine.earliestPassAt = time.Time{}
				h.machine.Step(w.now, endive.Wake{})
			}
		})
	}
}

// passWithAccounts returns a full pool with 13,000 waiting workflows.
func passWithAccounts(b *testing.B, accounts int) (*simulation, *holder) {
	const workers, workflows = 252, 13_000
	w := newSimulation(nil, 1, faults{})
	var list []endive.Account
	for i := range accounts {
		account := endive.Account{Name: endive.AccountName(fmt.Sprintf("account-%d", i)), Cap: endive.Resources{Processors: 1_000_000}}
		if i%10 == 0 {
			account.Cap.Processors = 1
		}
		list = append(list, account)
	}
	w.accounts, _ = endive.NewAccounts(list)
	for i := range workers {
		worker := &fakeWorker{sim: w, id: endive.WorkerID(fmt.Sprintf("w%d", i))}
		worker.startIncarnation(endive.Resources{Processors: 16000, Memory: 64 * endive.GiB}, nil)
		w.workers[worker.id] = worker
	}
	w.publishWorkers()
	h := w.startHolder()
	w.run(500 * time.Millisecond)
	for i := range workflows {
		account := endive.AccountName("")
		if accounts > 0 {
			account = list[i%accounts].Name
		}
		w.submitFor(account, fmt.Sprintf("job%d", i), urgentQueue, stepOfTasks(4, time.Hour))
		if i%100 == 0 {
			w.run(w.now.Add(20 * time.Millisecond).Sub(w.start))
		}
	}
	w.run(8 * time.Second)
	if w.starts == 0 {
		b.Fatal("nothing was started")
	}
	return w, h
}
