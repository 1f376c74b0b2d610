package main

import (
	"fmt"
	"net"
	"slices"
	"time"
)

func init() { cases["relabel"] = playOtherKind }

// downTimes are how long the executor is down after its crashes.
var downTimes = []time.Duration{900 * time.Millisecond, 1450 * time.Millisecond, 2200 * time.Millisecond, 3100 * time.Millisecond}

// crash ends the executor at once: its connections are reset, its runs end without a trace.
func (w *worker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.stopped)
	_ = w.server.Close()
	for _, r := range w.runs {
		r.timer.Stop()
		w.ledger.ended(w.id, r.task, r.number, "lost in the crash")
	}
	if w.lapse != nil {
		w.lapse.Stop()
	}
}

// restart starts a new incarnation at the same address. It registers before it serves.
func (w *worker) restart(id string, labels []string) (*worker, error) {
	spec := w.workerSpec
	spec.id, spec.labels = id, labels
	next := newWorker(spec, w.store, w.ledger, w.addr)
	next.machine = w.machine
	listener, err := net.Listen("tcp", w.addr)
	if err != nil {
		return nil, err
	}
	next.register()
	go func() { _ = next.server.Serve(listener) }()
	go next.beat()
	return next, nil
}

// playOtherKind crashes an executor, which comes back as one of another kind, while a job needs the
// label of its former kind.
func playOtherKind(s *scene) ([]string, error) {
	s.configure(3, []string{"porsiyon"}, route{"r-1", host, "/lohu930/", "porsiyon", 0})
	specs := []workerSpec{{"i-p1", "porsiyon", "marmara-a", 32000, 65536, []string{"kind-a", "r1-1"}}}
	for i := range 6 {
		specs = append(specs, workerSpec{fmt.Sprintf("i-p%d", i+2), "porsiyon", "marmara-a", 32000, 65536, []string{"kind-b", "r1-1"}})
	}
	if err := s.begin(3, specs...); err != nil {
		return nil, err
	}
	var broken []string
	for round, downTime := range downTimes {
		id := fmt.Sprintf("5c0e7a21d94b%04x", round)
		body := `{"task_spec":"{\"ms\":4000}","steps":[{"count":4,"cpu":3000,"mem_mb":256,"estimate_ms":4000,"required_label":"kind-a"}]}`
		if status, _ := s.request(round, "POST", host, "/lohu930/"+id, body); status != 200 {
			return nil, fmt.Errorf("a job wasn't accepted")
		}
		time.Sleep(time.Second)
		label := "kind-a"
		if s.trouble {
			label = "kind-b"
		}
		s.workers[0].crash()
		s.log.add("worker i-p1 has crashed")
		time.Sleep(downTime)
		next, err := s.workers[0].restart("i-p1", []string{label, "r1-1"})
		if err != nil {
			return nil, err
		}
		s.workers[0] = next
		s.log.add("worker i-p1 is back as an executor of %s, and has registered so", label)
		time.Sleep(4 * time.Second)
		s.request(round, "DELETE", host, "/lohu930/"+id, "")
		next.mu.Lock()
		broken = append(broken, next.wrong...)
		next.mu.Unlock()
		if s.trouble {
			// The executor crashes once more and comes back as one of its first kind.
			next.crash()
			time.Sleep(downTime)
			if s.workers[0], err = next.restart("i-p1", []string{"kind-a", "r1-1"}); err != nil {
				return nil, err
			}
		}
		time.Sleep(5 * time.Second)
	}
	return broken, nil
}

// noteLabel records a start on an executor without the label that all jobs of the case need. The caller
// holds the lock.
func (w *worker) noteLabel(r *workerRun) {
	if len(w.labels) > 0 && slices.Contains(w.labels, "kind-b") {
		w.wrong = append(w.wrong, fmt.Sprintf("%s run %d was started on %s, which has the labels %v and not kind-a", r.task, r.number, w.id, w.labels))
	}
}
