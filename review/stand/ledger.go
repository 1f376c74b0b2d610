package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// record is the file with what was sent, answered and run.
type record struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
	// quiet omits lines while a part of a case is played of which only the sum is recorded.
	quiet atomic.Bool
}

func (r *record) add(format string, args ...any) {
	if r.quiet.Load() {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f  ", time.Since(r.start).Seconds()) + fmt.Sprintf(format, args...)
	_, _ = fmt.Fprintln(r.file, line)
}

// taskLife is what is known of the runs of one task.
type taskLife struct {
	active map[string]int64 // by worker
	// done has the ends `done`, by worker and run: true once ack_cursor has reached them.
	done map[string]bool
	// excused has the ends that weren't taken note of before the executor's lease lapsed.
	excused map[string]bool
	// preceding has the ends `done` after which a run was started.
	preceding map[string]bool
	starts    int
}

// ledger collects the starts and ends of all workers, and judges the rule TWICE.
type ledger struct {
	log *record
	// quiet omits the lines about single runs.
	quiet func(task string) bool

	mu       sync.Mutex
	tasks    map[string]*taskLife
	overlaps []string
	starts   int
	history  []start
	// onStart is called with each start; nil for nothing.
	onStart func(*worker, *workerRun)
}

// start is the start of a run.
type start struct {
	task, worker string
	at           time.Time
}

func newLedger(log *record) *ledger {
	return &ledger{log: log, tasks: make(map[string]*taskLife), quiet: func(string) bool { return false }}
}

func (l *ledger) task(id string) *taskLife {
	if l.tasks[id] == nil {
		l.tasks[id] = &taskLife{active: make(map[string]int64), done: make(map[string]bool), excused: make(map[string]bool), preceding: make(map[string]bool)}
	}
	return l.tasks[id]
}

func (l *ledger) started(w *worker, r *workerRun) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.task(r.task)
	t.starts++
	l.starts++
	l.history = append(l.history, start{r.task, w.id, r.startedAt})
	if !l.quiet(r.task) {
		l.log.add("worker %s (%s): started %s run %d, fence_token %d", w.id, w.service, r.task, r.number, r.epoch)
	}
	if len(t.active) > 0 {
		l.overlaps = append(l.overlaps, fmt.Sprintf("%s: run %d began on %s while %v was at work", r.task, r.number, w.id, t.active))
	}
	t.active[w.id] = r.number
	for name := range t.done {
		t.preceding[name] = true
	}
	if l.onStart != nil {
		l.onStart(w, r)
	}
}

func (l *ledger) ended(worker, task string, run int64, how string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.task(task)
	delete(t.active, worker)
	if how == "done" {
		t.done[fmt.Sprintf("%s/%d", worker, run)] = false
	}
	if !l.quiet(task) {
		l.log.add("worker %s: ended %s run %d: %s", worker, task, run, how)
	}
}

// lapsed records that an executor's lease has lapsed: its earlier ends aren't taken note of any more.
func (l *ledger) lapsed(worker string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, t := range l.tasks {
		for name, noted := range t.done {
			if !noted && strings.HasPrefix(name, worker+"/") {
				t.excused[name] = true
			}
		}
	}
}

// noted records that ack_cursor has reached an end.
func (l *ledger) noted(worker string, end endKey) {
	l.mu.Lock()
	defer l.mu.Unlock()
	t := l.task(end.task)
	name := fmt.Sprintf("%s/%d", worker, end.number)
	if _, ok := t.done[name]; ok && !t.excused[name] {
		t.done[name] = true
	}
}

// startsOf returns the number of starts of a task.
func (l *ledger) startsOf(task string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.task(task).starts
}

// twice returns the breaches of the rule TWICE: overlapping runs, and starts after an end `done` that
// was taken note of.
func (l *ledger) twice() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	breaches := append([]string{}, l.overlaps...)
	for id, t := range l.tasks {
		noted := 0
		for name := range t.preceding {
			if t.done[name] {
				noted++
			}
		}
		if noted > 0 {
			breaches = append(breaches, fmt.Sprintf("%s: started %d times, also after %d ends `done` that were taken note of then or later", id, t.starts, noted))
		}
	}
	return breaches
}

// totals returns the number of starts, and of tasks that were started.
func (l *ledger) totals() (starts, tasks int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.starts, len(l.tasks)
}

// startsAfter returns the starts after a time.
func (l *ledger) startsAfter(at time.Time) []start {
	l.mu.Lock()
	defer l.mu.Unlock()
	var late []start
	for _, one := range l.history {
		if one.at.After(at) {
			late = append(late, one)
		}
	}
	return late
}

// activeTasks returns the tasks that are at work.
func (l *ledger) activeTasks() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var active []string
	for id, t := range l.tasks {
		if len(t.active) > 0 {
			active = append(active, id)
		}
	}
	return active
}

// jobDone reports whether all tasks of a job with one step have ended `done`.
func (l *ledger) jobDone(id string, tasks int) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i := range tasks {
		if t := l.tasks[fmt.Sprintf("%s.0.0.%d", id, i)]; t == nil || len(t.done) == 0 {
			return false
		}
	}
	return true
}
