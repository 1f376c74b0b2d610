package flow

import (
	"sort"
	"time"

	"endiveroute.example/endive"
)

// fakeWorker is a worker of a world. It doesn't guard its capacity.
type fakeWorker struct {
	world *world
	id    endive.WorkerID
	self  endive.FleetWorker
	// born is when this incarnation began, life counts the incarnations.
	born     time.Time
	life     int
	dark     bool
	unlisted bool
	// deafFrom is the epoch from which on holders don't reach the worker; 0 for all do.
	deafFrom endive.Epoch
	// late says that the worker carries out an order long after it came.
	late bool
	// gone workers have ended: nothing listens at their address.
	gone bool
	// vanished workers are off: no connection to them is opened.
	vanished bool
	// reused says that another worker listens at the address of one that has ended.
	reused bool
	// far workers are in another region.
	far bool
	// hangs has all tasks stand still, slow has them take so many times as long.
	hangs bool
	slow  int

	epoch    endive.Epoch
	leaseEnd endive.WorkerTime
	runs     map[endive.TaskID]*fakeRun
	barred   map[endive.TaskID]endive.RunNumber
	ends     []endive.EndReport
	lastEnd  endive.EndNumber
	// voided is the newest end of which nobody need take note any more.
	voided  endive.EndNumber
	waiting []func()
}

// fakeRun is a run on a fakeWorker.
type fakeRun struct {
	task   endive.TaskID
	number endive.RunNumber
	// began and takes tell how far the run has come.
	began time.Time
	takes time.Duration
	need  endive.Resources
	gang  bool
	// over counts changes, so that an old appointment to end it is passed over.
	over bool
}

// bear begins a life.
func (f *fakeWorker) bear(capacity endive.Resources, labels []endive.Label) {
	f.void()
	f.life++
	f.born = f.world.now
	f.epoch, f.leaseEnd, f.lastEnd, f.voided = 0, 0, 0, 0
	for _, r := range f.runs {
		r.over = true
	}
	f.runs = make(map[endive.TaskID]*fakeRun)
	f.barred = make(map[endive.TaskID]endive.RunNumber)
	f.ends, f.waiting = nil, nil
	f.self = endive.FleetWorker{
		ID: f.id, StartTime: f.born, Pool: testPool, Address: endive.Address(f.id), Capacity: capacity, Labels: labels,
	}
}

// restart kills the worker; it comes back at once under the same id and knows
// nothing.
func (f *fakeWorker) restart() {
	f.bear(f.self.Capacity, f.self.Labels)
	f.world.list()
}

func (f *fakeWorker) clock() endive.WorkerTime {
	return endive.WorkerTime(f.world.now.Sub(f.born).Milliseconds()) + 1
}

// fenced takes over a higher epoch; it reports whether the order's is lower.
func (f *fakeWorker) fenced(epoch endive.Epoch) bool {
	if epoch < f.epoch {
		return true
	}
	f.epoch = epoch
	return false
}

func (f *fakeWorker) start(order endive.StartOrder) endive.OrderAnswer {
	answer := endive.OrderAnswer{Clock: f.clock()}
	switch {
	case f.fenced(order.Epoch):
		answer.Refused = endive.RefusalEpoch
		return answer
	case order.LeaseEnd <= f.clock():
		answer.Refused = endive.RefusalLeaseExpired
		return answer
	}
	f.extend(order.LeaseEnd)
	if run := f.runs[order.Task]; run != nil && run.number == order.Run {
		return answer
	}
	if f.barred[order.Task] >= order.Run || f.runs[order.Task] != nil {
		answer.Refused = endive.RefusalOldRun
		return answer
	}
	f.begin(order)
	return answer
}

// extend renews the leases.
func (f *fakeWorker) extend(end endive.WorkerTime) {
	end = min(end, f.clock()+endive.WorkerTime(testMaxGrant.Milliseconds()))
	if end <= f.leaseEnd {
		return
	}
	f.leaseEnd = end
	life := f.life
	f.world.after(time.Duration(end-f.clock())*time.Millisecond, func() {
		if f.life == life && f.leaseEnd == end {
			f.lapse()
		}
	})
}

// void lets go of ends that nobody has taken note of: after the leases have run out,
// or in another life, they don't count any more, and the tasks may run again.
func (f *fakeWorker) void() {
	for _, end := range f.ends {
		if f.voided >= end.Number {
			continue
		}
		switch end.Kind {
		case endive.EndSucceeded:
			delete(f.world.succeeded, end.Task)
		case endive.EndFailed:
			f.world.failures[end.Task]--
		}
	}
	f.voided = f.lastEnd
}

// lapse ends everything that runs.
func (f *fakeWorker) lapse() {
	f.void()
	for _, r := range f.sorted() {
		f.end(r, endive.EndLeaseExpired)
	}
}

// begin starts a run, and checks what must hold for it.
func (f *fakeWorker) begin(order endive.StartOrder) {
	w := f.world
	w.starts++
	job, spec := w.stepOf(order.Task)
	run := &fakeRun{task: order.Task, number: order.Run, need: spec.Reserved(), gang: spec.Gang}
	f.runs[order.Task] = run
	w.checkStart(f, order, job, spec)
	took := time.Duration(spec.Estimate)
	if spec.LongRunning {
		return
	}
	kind := endive.EndSucceeded
	if w.chance(w.faults.failedTask) {
		kind, took = endive.EndFailed, took/2
	}
	if job.stretch > 0 {
		took = time.Duration(float64(took) * job.stretch)
	}
	took *= time.Duration(max(1, f.slow))
	run.began, run.takes = w.now, took
	if f.hangs {
		run.takes = 0
		return
	}
	w.after(took, func() {
		if !run.over {
			f.end(run, kind)
		}
	})
}

// end ends a run and tells whoever waits.
func (f *fakeWorker) end(run *fakeRun, kind endive.EndKind) {
	run.over = true
	delete(f.runs, run.task)
	f.barred[run.task] = max(f.barred[run.task], run.number)
	f.lastEnd++
	f.ends = append(f.ends, endive.EndReport{Number: f.lastEnd, Task: run.task, Run: run.number, Kind: kind})
	switch kind {
	case endive.EndSucceeded:
		f.world.succeeded[run.task] = true
		f.world.done[run.task] = true
		f.world.finished[run.task]++
	case endive.EndFailed:
		f.world.failures[run.task]++
	}
	waiting := f.waiting
	f.waiting = nil
	for _, tell := range waiting {
		tell()
	}
}

func (f *fakeWorker) stop(order endive.StopOrder) endive.OrderAnswer {
	answer := endive.OrderAnswer{Clock: f.clock()}
	if f.fenced(order.Epoch) {
		answer.Refused = endive.RefusalEpoch
		return answer
	}
	f.barred[order.Task] = max(f.barred[order.Task], order.Run)
	run := f.runs[order.Task]
	if run == nil || run.number != order.Run {
		return answer
	}
	life := f.life
	f.world.after(200*time.Millisecond, func() {
		if f.life == life && !run.over {
			f.end(run, endive.EndStopped)
		}
	})
	return answer
}

// forget drops the ends that were recorded.
func (f *fakeWorker) forget(recorded endive.EndNumber) {
	for len(f.ends) > 0 && f.ends[0].Number <= recorded {
		f.ends = f.ends[1:]
	}
}

func (f *fakeWorker) report() endive.PollReport {
	report := endive.PollReport{Clock: f.clock(), StartTime: f.born, Ended: append([]endive.EndReport(nil), f.ends...)}
	for _, r := range f.sorted() {
		report.Running = append(report.Running, endive.RunReport{Task: r.task, Run: r.number, Percent: r.percent(f.world.now)})
	}
	return report
}

func (f *fakeWorker) sorted() []*fakeRun {
	var runs []*fakeRun
	for _, r := range f.runs {
		runs = append(runs, r)
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].task < runs[j].task })
	return runs
}

// percent returns how far a run has come.
func (r *fakeRun) percent(now time.Time) int {
	if r.takes == 0 {
		return 0
	}
	return int(now.Sub(r.began) * 100 / r.takes)
}

// leave ends the worker's process: all that it runs ends, unheard.
func (f *fakeWorker) leave() {
	f.bear(f.self.Capacity, f.self.Labels)
	f.gone, f.unlisted = true, true
	f.world.list()
}

// way returns how long an order takes to reach the worker.
func (f *fakeWorker) way() time.Duration {
	if f != nil && f.far {
		return 30 * time.Millisecond
	}
	return 3 * time.Millisecond
}

// deaf reports whether a holder doesn't reach the worker.
func (f *fakeWorker) deaf(h *holder) bool { return f.deafFrom > 0 && h.epoch >= f.deafFrom }
