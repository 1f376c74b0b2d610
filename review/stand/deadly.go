package main

import (
	"fmt"
	"os"
	"strconv"
	"sync"
	"time"
)

func init() { cases["5"] = playDeadlyTask }

const (
	// fatalAge is how long after its start the deadly task crashes its executor.
	fatalAge = 15 * time.Second
	// backTime is how long a crashed executor is down.
	backTime = 2 * time.Second
	// deadlyPlay is how long the case looks on.
	deadlyPlay = 104 * time.Second
	// startsBeyond is the number of starts after three crashes that breaks the rule BUDGET.
	startsBeyond = 3
)

// playDeadlyTask hands in a job with a task that crashes each executor that starts it, some time after
// its start.
func playDeadlyTask(s *scene) ([]string, error) {
	age, play := fatalAge, deadlyPlay
	if seconds, err := strconv.ParseFloat(os.Getenv("FATAL_AGE"), 64); err == nil {
		// For plays beside the case.
		age, play = time.Duration(seconds*float64(time.Second)), 9*time.Duration(seconds*float64(time.Second))
	}
	s.configure(3, []string{"porsiyon"}, route{"r-1", host, "/lohu930/", "porsiyon", 2}, route{"r-2", host, "/wex4/", "porsiyon", 0})
	var specs []workerSpec
	for i := range 7 {
		specs = append(specs, workerSpec{fmt.Sprintf("i-p%d", i+1), "porsiyon", "marmara-a", 32000, 65536, []string{"a", "r1-1"}})
	}
	if err := s.begin(3, specs...); err != nil {
		return nil, err
	}
	const id = "5c0e7a21d94b36f8"
	d := &deadly{scene: s, task: id + ".0.0.0", age: age}
	if s.trouble {
		s.ledger.onStart = d.watch
	} else {
		play = 60 * time.Second
	}
	if status, _ := s.request(0, "POST", host, "/lohu930/"+id, jobOf(1, 6600, (age+30*time.Second).Milliseconds())); status != 200 {
		return nil, fmt.Errorf("the job wasn't accepted")
	}
	until := s.log.start.Add(play)
	for i := 0; time.Now().Before(until) && d.beyond() < startsBeyond+d.margin(); i++ {
		time.Sleep(500 * time.Millisecond)
	}
	s.request(1, "GET", host, "/lohu930/"+id, "")
	s.request(2, "DELETE", host, "/lohu930/"+id, "")
	d.stop()
	if d.beyond() >= startsBeyond {
		return []string{fmt.Sprintf("%s was started %d times after three executors had crashed under it", d.task, d.beyond())}, nil
	}
	return nil, nil
}

// deadly crashes the executors that start a task.
type deadly struct {
	scene *scene
	task  string
	age   time.Duration

	mu      sync.Mutex
	crashes int
	// later counts the starts after three crashes.
	later   int
	stopped bool
}

// watch is called with each start.
func (d *deadly) watch(w *worker, r *workerRun) {
	if r.task != d.task {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.crashes >= 3 {
		d.later++
	}
	time.AfterFunc(d.age, func() { d.strike(w, r) })
}

// strike crashes an executor that still runs the task.
func (d *deadly) strike(w *worker, r *workerRun) {
	w.mu.Lock()
	atWork := w.runs[r.task] == r
	w.mu.Unlock()
	d.mu.Lock()
	if !atWork || d.stopped {
		d.mu.Unlock()
		return
	}
	d.crashes++
	number := d.crashes
	d.mu.Unlock()
	w.crash()
	d.scene.log.add("worker %s has crashed %s after it started %s: crash %d", w.id, d.age, r.task, number)
	time.Sleep(backTime)
	// The machine's next executor has an id of its own. The entry of the one that has crashed is removed
	// after three heartbeats of silence.
	time.AfterFunc(3*heartbeat-backTime, func() { w.store.drop("servers", w.id) })
	next, err := w.restart(fmt.Sprintf("i-q%d", number), w.labels)
	if err != nil {
		d.scene.log.add("worker %s couldn't restart: %v", w.id, err)
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	for i, one := range d.scene.workers {
		if one == w {
			d.scene.workers[i] = next
		}
	}
}

func (d *deadly) beyond() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.later
}

// margin is by how many starts a play beside the case goes on.
func (d *deadly) margin() int {
	if os.Getenv("FATAL_AGE") != "" {
		return 2
	}
	return 0
}

func (d *deadly) stop() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.stopped = true
}
