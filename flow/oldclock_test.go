package flow

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// A worker answers an order and restarts under the same id. The next incarnation answers a poll before the first
// one's answer arrives. The clock in that answer isn't the clock of the next incarnation: with leases by it, the
// worker would run on after the holder has given it up, and its task would run twice.
func TestAnswerOfEarlierIncarnationSetsClock(t *testing.T) {
	for _, order := range []string{"start", "stop"} {
		t.Run(order, func(t *testing.T) {
			is := is.New(t)
			w := newSimulation(t, 1, faults{})
			w.trace, w.renewals = *followTasks, true
			w.addWorkers(1)
			h := w.startHolder()
			w.run(20 * time.Second)
			worker := w.workers["w0"]
			worker.slowLink = 190 * time.Millisecond
			if order == "stop" {
				worker.slowLink = 0
			}
			first := w.submit("first", urgentQueue, stepOfTasks(1, 30*time.Second))
			if order == "stop" {
				w.run(20500 * time.Millisecond)
				worker.slowLink = 190 * time.Millisecond
				w.cancel(first)
			}
			begin := w.now
			at := func(d time.Duration) { w.run(begin.Add(d).Sub(w.start)) }
			at(10 * time.Millisecond)
			worker.slowLink = 0
			at(205 * time.Millisecond)
			if poll := &h.machine.workers["w0"].poll; poll.inFlight {
				// The restart comes between two polls.
				for w.now.Sub(poll.sentAt) != time.Duration(unconfirmedPollWait)+5*time.Millisecond {
					w.run(w.now.Add(time.Millisecond).Sub(w.start))
				}
			}
			worker.restart()
			at(384 * time.Millisecond)
			worker.answersLost, worker.ordersUnanswered = true, true
			at(800 * time.Millisecond)
			w.submit("second", urgentQueue, stepOfTasks(1, 30*time.Second))
			at(900 * time.Millisecond)
			if order == "start" {
				// The first task starts again on the next incarnation, alone, since it may have crashed the worker.
				is.True(worker.runs["first.0.0.0"] != nil)
			} else {
				is.True(worker.runs["second.0.0.0"] != nil)
			}
			w.addWorker("w1", testCapacity, endive.Label("rack0"))
			at(40 * time.Second)
			w.checkViolations()
		})
	}
}

// A worker restarts twice, the second time unseen, and answers two orders to start with a clock that could be that of the
// known incarnation. The reading of the first answer must not make the second one pass as the known incarnation's: its
// run would be given up by the granted lease, while the worker has shortened the order's lease only to the longest one.
func TestClockOfLaterIncarnationPassesForKnown(t *testing.T) {
	is := is.New(t)
	w, h := newLoneWorkerSimulation(t)
	worker := w.workers["w0"]
	worker.restart()
	w.run(30100 * time.Millisecond)
	worker.answersLost = true
	worker.startIncarnation(worker.info.Capacity, worker.info.Labels)
	for i, at := range []time.Duration{30300, 30400} {
		w.run(at * time.Millisecond)
		w.submit([]string{"first", "second"}[i], urgentQueue, stepOfTasks(1, 30*time.Second))
	}
	w.run(30450 * time.Millisecond)
	is.Equal(len(worker.runs), 2)
	for _, r := range h.machine.workers["w0"].sortedRuns() {
		is.True(!r.reported)
	}
}

// A worker restarts unseen, and its clock begins anew at a number above that of the former incarnation. Its answer to an
// order must not pass as the known incarnation's, nor set its clock.
func TestHigherClockOfLaterIncarnationPassesForKnown(t *testing.T) {
	for _, base := range []endive.WorkerTime{0, 20_000, 29_000, 31_000, 40_000, 3_600_000} {
		t.Run(fmt.Sprint(base), func(t *testing.T) {
			is := is.New(t)
			w, h := newLoneWorkerSimulation(t)
			worker, tracked := w.workers["w0"], h.machine.workers["w0"]
			reading := tracked.clock
			worker.answersLost = true
			worker.startIncarnation(worker.info.Capacity, worker.info.Labels)
			worker.clockBase = base
			w.submit("job", urgentQueue, stepOfTasks(1, 30*time.Second))
			w.run(30050 * time.Millisecond)
			is.Equal(len(worker.runs) == 1, base < 34_000) // with a higher clock the order's lease has expired
			for _, r := range tracked.sortedRuns() {
				is.True(!r.reported)
			}
			is.Equal(tracked.clock, reading)
		})
	}
}
