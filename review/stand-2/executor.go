package main

import (
	"encoding/json"
	"maps"
	"net"
	"net/http"
	"sort"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// maxEnds is how many ends an executor returns at a time.
	maxEnds = 500
	// maxHold is max_hold_ms.
	maxHold = 6 * time.Second
	// heartbeat is heartbeat_ms.
	heartbeat = 1500 * time.Millisecond
	// maxWait is the longest wait of a call for the lists.
	maxWait = 2 * time.Second
)

// Executor is one machine of a service. A crash ends its incarnation; a restart begins another one under the
// same id and at the same address.
type Executor struct {
	id, service string
	number      int
	store       *Store
	record      *Record
	address     string
	runTime     func(task string) time.Duration

	mu       sync.Mutex
	server   *http.Server
	born     time.Time
	up       bool
	fence    uint64
	leaseEnd int64
	runs     map[string]*execRun
	barred   map[string]int64
	ends     [][]any
	lastEnd  int64
	changed  chan struct{}
	beats    int
	// endedAt has when runs ended done in the incarnation, by the numbers of their ends; noted has when tasks
	// ended done whose ends were taken note of, unless the lease lapsed between the two.
	endedAt map[int64]time.Time
	noted   map[string]time.Time
	// done counts the tasks that have ended done on the machine, by step.
	done map[string]int
}

// execRun is a task at work.
type execRun struct {
	task    string
	number  int64
	started time.Time
	length  time.Duration
}

func newExecutor(id, service string, number int, store *Store, record *Record, runTime func(string) time.Duration) *Executor {
	return &Executor{id: id, service: service, number: number, store: store, record: record, runTime: runTime, done: make(map[string]int), noted: make(map[string]time.Time)}
}

// start begins an incarnation.
func (x *Executor) start() error {
	address := x.address
	if address == "" {
		address = freeAddress()
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return err
	}
	x.mu.Lock()
	x.address = listener.Addr().String()
	x.born, x.up = time.Now(), true
	x.fence, x.leaseEnd, x.lastEnd, x.ends = 0, 0, 0, nil
	x.runs, x.barred = make(map[string]*execRun), make(map[string]int64)
	x.endedAt = make(map[int64]time.Time)
	x.changed = make(chan struct{})
	server := &http.Server{Handler: x}
	x.server = server
	born := x.born
	x.mu.Unlock()
	go func() { _ = server.Serve(listener) }()
	go x.work(born)
	go x.beat(born)
	return nil
}

// crash ends the incarnation: everything that runs ends, and its address refuses connections.
func (x *Executor) crash() int {
	x.mu.Lock()
	server, lost := x.server, len(x.runs)
	x.up, x.runs = false, nil
	x.mu.Unlock()
	_ = server.Close()
	return lost
}

// alive reports whether the incarnation that began then still runs.
func (x *Executor) alive(born time.Time) bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	return x.up && x.born.Equal(born)
}

// beat writes the executor's registration until the incarnation ends; the platform removes it after three beats
// of silence.
func (x *Executor) beat(born time.Time) {
	for x.alive(born) {
		x.mu.Lock()
		x.beats++
		entry := map[string]any{
			"service": x.service, "address": x.address, "zone": "caernarfon", "version": "v1", "slots": 8, "state": "ready", "cold_ms": 0,
			"seq": x.beats, "born": x.born.UnixMilli(), "machine": "m-" + x.id, "labels": []string{"a", "r1-" + strconv.Itoa(x.number/4)},
			"capacity": map[string]int{"cpu": 64000, "mem_mb": 262144, "gpus": 8},
		}
		x.mu.Unlock()
		x.store.put("servers", x.id, entry)
		time.Sleep(heartbeat)
	}
	time.Sleep(2 * heartbeat)
	x.mu.Lock()
	gone := !x.up && x.born.Equal(born)
	x.mu.Unlock()
	if gone {
		x.store.remove("servers", x.id)
	}
}

func (x *Executor) clock() int64 { return time.Since(x.born).Milliseconds() + 1 }

// work ends the tasks whose work is over, and everything when the lease lapses.
func (x *Executor) work(born time.Time) {
	for x.alive(born) {
		x.mu.Lock()
		lapsed := x.clock() >= x.leaseEnd
		if lapsed {
			clear(x.endedAt)
		}
		for _, run := range x.sorted() {
			switch {
			case lapsed:
				x.end(run, "lapsed")
			case run.length > 0 && time.Since(run.started) >= run.length:
				x.end(run, "done")
			}
		}
		x.mu.Unlock()
		time.Sleep(10 * time.Millisecond)
	}
}

func (x *Executor) sorted() []*execRun {
	runs := make([]*execRun, 0, len(x.runs))
	for _, run := range x.runs {
		runs = append(runs, run)
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].task < runs[j].task })
	return runs
}

// end lists the end of a run. The caller holds the lock.
func (x *Executor) end(run *execRun, how string) {
	delete(x.runs, run.task)
	x.barred[run.task] = max(x.barred[run.task], run.number)
	x.lastEnd++
	x.ends = append(x.ends, []any{x.lastEnd, run.task, run.number, how, ""})
	if how == "done" {
		x.endedAt[x.lastEnd] = time.Now()
		x.done[run.task[:strings.LastIndex(run.task, ".")+1]]++
	}
	x.record.ended(run.task, how)
	close(x.changed)
	x.changed = make(chan struct{})
}

// order is the body of an order.
type order struct {
	Task   string `json:"task"`
	Run    int64  `json:"run"`
	Lease  int64  `json:"deadline_ms"`
	Fence  uint64 `json:"fence_token"`
	Acked  int64  `json:"ack_cursor"`
	WaitMS int64  `json:"wait_ms"`
}

// ServeHTTP implements http.Handler.
func (x *Executor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var o order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	if id := r.Header.Get("Target-Instance"); id != "" && id != x.id {
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if !x.up {
		panic(http.ErrAbortHandler)
	}
	if o.Fence < x.fence {
		x.refuse(w, "fence")
		return
	}
	x.fence = o.Fence
	switch r.URL.Path {
	case "/-/run-start":
		x.startRun(w, o)
	case "/-/run-stop":
		x.barred[o.Task] = max(x.barred[o.Task], o.Run)
		if run := x.runs[o.Task]; run != nil && run.number == o.Run {
			x.end(run, "stopped")
		}
		reply(w, http.StatusOK, map[string]any{"clock_ms": x.clock(), "born": x.born.UnixMilli()})
	case "/-/hold":
		x.hold(w, r, o)
	case "/-/pace":
		reply(w, http.StatusOK, map[string]any{"clock_ms": x.clock(), "born": x.born.UnixMilli()})
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

func (x *Executor) refuse(w http.ResponseWriter, reason string) {
	reply(w, http.StatusConflict, map[string]any{"clock_ms": x.clock(), "reason": reason, "born": x.born.UnixMilli()})
}

func (x *Executor) extend(lease int64) {
	x.leaseEnd = max(x.leaseEnd, min(lease, x.clock()+maxHold.Milliseconds()))
}

func (x *Executor) startRun(w http.ResponseWriter, o order) {
	run := x.runs[o.Task]
	switch {
	case o.Lease <= x.clock():
		x.refuse(w, "late")
		return
	case run != nil && run.number == o.Run:
	case run != nil || x.barred[o.Task] >= o.Run:
		x.extend(o.Lease)
		x.refuse(w, "old")
		return
	default:
		x.runs[o.Task] = &execRun{task: o.Task, number: o.Run, started: time.Now(), length: x.runTime(o.Task)}
		x.record.started(o.Task, x.id, o.Run)
	}
	x.extend(o.Lease)
	reply(w, http.StatusOK, map[string]any{"clock_ms": x.clock(), "born": x.born.UnixMilli()})
}

// hold answers a call for the lists. The caller holds the lock, which is released during the wait.
func (x *Executor) hold(w http.ResponseWriter, r *http.Request, o order) {
	for len(x.ends) > 0 && x.ends[0][0].(int64) <= o.Acked {
		if at, ok := x.endedAt[x.ends[0][0].(int64)]; ok {
			x.noted[x.ends[0][1].(string)] = at
		}
		x.ends = x.ends[1:]
	}
	x.extend(o.Lease)
	if len(x.ends) == 0 && o.WaitMS > 0 {
		changed := x.changed
		x.mu.Unlock()
		select {
		case <-changed:
		case <-time.After(min(maxWait, time.Duration(o.WaitMS)*time.Millisecond)):
		case <-r.Context().Done():
		}
		x.mu.Lock()
		if !x.up {
			panic(http.ErrAbortHandler)
		}
	}
	running := [][]any{}
	for _, run := range x.sorted() {
		percent := 100
		if run.length > 0 {
			percent = int(min(99, 100*time.Since(run.started)/run.length))
		}
		running = append(running, []any{run.task, run.number, "", percent, 0})
	}
	ended := x.ends[:min(len(x.ends), maxEnds)]
	if ended == nil {
		ended = [][]any{}
	}
	reply(w, http.StatusOK, map[string]any{"clock_ms": x.clock(), "born": x.born.UnixMilli(), "running": running, "finished": ended})
}

// running returns how many tasks are at work.
func (x *Executor) running() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.runs)
}

// notedDone returns when tasks ended done whose ends were taken note of.
func (x *Executor) notedDone() map[string]time.Time {
	x.mu.Lock()
	defer x.mu.Unlock()
	return maps.Clone(x.noted)
}
