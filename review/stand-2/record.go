package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

// Record writes record.txt, and counts what executors have run.
type Record struct {
	start time.Time
	mu    sync.Mutex
	file  *os.File
	// starts and ends count the runs by job, and ends by their kind.
	starts map[string]int
	ends   map[string]map[string]int
	lastAt map[string]time.Time
	// begun are all starts.
	begun []runStart
}

// runStart is the start of a task on an executor.
type runStart struct {
	task, executor string
	run            int64
	at             time.Time
}

func newRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{start: time.Now(), file: file, starts: make(map[string]int), ends: make(map[string]map[string]int), lastAt: make(map[string]time.Time)}, nil
}

// line writes a line with the time since the start.
func (r *Record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	text := fmt.Sprintf("%7.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
	_, _ = r.file.WriteString(text)
	fmt.Print(text)
}

// jobOf returns the job of a task.
func jobOf(task string) string {
	job, _, _ := strings.Cut(task, ".")
	return job
}

// started records that an executor has begun a run.
func (r *Record) started(task, executor string, run int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begun = append(r.begun, runStart{task: task, executor: executor, run: run, at: time.Now()})
	r.starts[jobOf(task)]++
	r.lastAt[jobOf(task)] = time.Now()
}

// ended records the end of a run.
func (r *Record) ended(task, how string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	job := jobOf(task)
	r.lastAt[job] = time.Now()
	if r.ends[job] == nil {
		r.ends[job] = make(map[string]int)
	}
	r.ends[job][how]++
}

// done returns how many tasks of a job have ended done.
func (r *Record) done(job string) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ends[job]["done"]
}

// runs returns how many runs of a job were started, how they ended, and when the last one began or ended.
func (r *Record) runs(job string) (starts int, ends string, last time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.starts[job], fmt.Sprint(r.ends[job]), r.lastAt[job]
}

// startsOf returns all starts of a job's tasks.
func (r *Record) startsOf(job string) []runStart {
	r.mu.Lock()
	defer r.mu.Unlock()
	var starts []runStart
	for _, start := range r.begun {
		if jobOf(start.task) == job {
			starts = append(starts, start)
		}
	}
	return starts
}

// firstStart returns when the first task of a job was started.
func (r *Record) firstStart(job string) time.Time {
	return r.startsOf(job)[0].at
}

// at returns a time as record.txt shows it.
func (r *Record) at(t time.Time) float64 { return t.Sub(r.start).Seconds() }
