package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"sync"
	"time"
)

const (
	heartbeat      = 1500 * time.Millisecond
	maxHold        = 6000 * time.Millisecond
	checkpointTime = 500 * time.Millisecond
	maxListedEnds  = 500
)

// workerSpec says what a worker registers.
type workerSpec struct {
	id, service, zone string
	cpu, memMB        int64
	labels            []string
}

// workerRun is a run of a task on a worker.
type workerRun struct {
	task      string
	number    int64
	startedAt time.Time
	length    time.Duration
	timer     *time.Timer
	epoch     uint64
}

// worker is an executor, in one process with the other stand-ins but with a port of its own.
type worker struct {
	workerSpec
	ledger *ledger
	store  *store
	addr   string
	server *http.Server

	machine string

	mu      sync.Mutex
	born    time.Time
	fence   uint64
	runs    map[string]*workerRun
	barred  map[string]int64
	ends    [][]any
	lastEnd int64
	// acked is the highest ack_cursor.
	acked    int64
	endedAt  map[int64]endKey
	deadline time.Time
	lapse    *time.Timer
	changed  chan struct{}
	seq      int
	stopped  chan struct{}
	// muted is true while answers are lost.
	muted bool
	// wrong lists the starts on an executor without the label that they need.
	wrong []string
}

type endKey struct {
	task   string
	number int64
}

// taskBody is the task_spec of the review's jobs.
type taskBody struct {
	Millis int64 `json:"ms"`
}

// newWorker returns an executor that doesn't serve yet.
func newWorker(spec workerSpec, s *store, l *ledger, address string) *worker {
	w := &worker{
		workerSpec: spec, ledger: l, store: s, addr: address, born: time.Now(), machine: "m-" + spec.id,
		runs: make(map[string]*workerRun), barred: make(map[string]int64), endedAt: make(map[int64]endKey),
		changed: make(chan struct{}), stopped: make(chan struct{}),
	}
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/run-start", w.guarded(w.serveStart))
	mux.HandleFunc("POST /-/run-stop", w.guarded(w.serveStop))
	mux.HandleFunc("POST /-/hold", w.guarded(w.serveHold))
	mux.HandleFunc("GET /health", func(rw http.ResponseWriter, _ *http.Request) {
		rw.Header().Set("Instance-Id", w.id)
		rw.WriteHeader(http.StatusOK)
	})
	w.server = &http.Server{Handler: mux}
	return w
}

func startWorker(spec workerSpec, s *store, l *ledger) (*worker, error) {
	listener, err := listenFree()
	if err != nil {
		return nil, err
	}
	w := newWorker(spec, s, l, listener.Addr().String())
	go func() { _ = w.server.Serve(listener) }()
	w.register()
	go w.beat()
	return w, nil
}

func (w *worker) register() {
	w.seq++
	w.store.put("servers", w.id, map[string]any{
		"service": w.service, "address": w.addr, "zone": w.zone, "version": "1", "slots": 8, "state": "ready", "cold_ms": 0, "seq": w.seq,
		"capacity": map[string]any{"cpu": w.cpu, "mem_mb": w.memMB, "gpus": 0}, "labels": w.labels, "born": w.born.UnixMilli(), "machine": w.machine,
	})
}

func (w *worker) beat() {
	for {
		select {
		case <-time.After(heartbeat):
			w.register()
		case <-w.stopped:
			return
		}
	}
}

func (w *worker) clock() int64 { return time.Since(w.born).Milliseconds() }

// orderBody is the body of all orders.
type orderBody struct {
	Task       string `json:"task"`
	Run        int64  `json:"run"`
	Spec       string `json:"task_spec"`
	Deadline   int64  `json:"deadline_ms"`
	Fence      uint64 `json:"fence_token"`
	Checkpoint string `json:"last_checkpoint"`
	Ack        int64  `json:"ack_cursor"`
	Wait       int64  `json:"wait_ms"`
}

// guarded decodes an order and refuses those to another incarnation or with an old fence.
func (w *worker) guarded(serve func(http.ResponseWriter, *http.Request, orderBody)) http.HandlerFunc {
	return func(rw http.ResponseWriter, r *http.Request) {
		if target := r.Header.Get("Target-Instance"); target != "" && target != w.id {
			w.answer(rw, http.StatusMisdirectedRequest, nil)
			return
		}
		var body orderBody
		if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
			w.answer(rw, http.StatusBadRequest, nil)
			return
		}
		w.mu.Lock()
		if body.Fence < w.fence {
			w.mu.Unlock()
			w.answer(rw, http.StatusConflict, map[string]any{"reason": "fence"})
			return
		}
		w.fence = body.Fence
		w.mu.Unlock()
		serve(rw, r, body)
	}
}

func (w *worker) answer(rw http.ResponseWriter, status int, extra map[string]any) {
	if w.silent() {
		time.Sleep(4 * time.Second)
		hangUp(rw)
		return
	}
	body := map[string]any{"clock_ms": w.clock(), "born": w.born.UnixMilli()}
	for key, value := range extra {
		body[key] = value
	}
	reply(rw, status, body)
}

// extend moves the end of the lease. The caller holds the lock.
func (w *worker) extend(deadlineMillis int64) {
	at := w.born.Add(time.Duration(deadlineMillis) * time.Millisecond)
	if limit := time.Now().Add(maxHold); at.After(limit) {
		at = limit
	}
	if !at.After(w.deadline) {
		return
	}
	w.deadline = at
	if w.lapse != nil {
		w.lapse.Stop()
	}
	w.lapse = time.AfterFunc(time.Until(at), w.expire)
}

func (w *worker) expire() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if time.Now().Before(w.deadline) {
		return
	}
	w.ledger.lapsed(w.id)
	for _, r := range w.sortedRuns() {
		w.end(r, "lapsed")
	}
}

func (w *worker) sortedRuns() []*workerRun {
	runs := make([]*workerRun, 0, len(w.runs))
	for _, r := range w.runs {
		runs = append(runs, r)
	}
	sort.Slice(runs, func(i, j int) bool { return runs[i].task < runs[j].task })
	return runs
}

// end ends a run. The caller holds the lock.
func (w *worker) end(r *workerRun, how string) {
	r.timer.Stop()
	delete(w.runs, r.task)
	w.barred[r.task] = max(w.barred[r.task], r.number)
	w.lastEnd++
	w.ends = append(w.ends, []any{w.lastEnd, r.task, r.number, how, ""})
	w.endedAt[w.lastEnd] = endKey{r.task, r.number}
	w.ledger.ended(w.id, r.task, r.number, how)
	close(w.changed)
	w.changed = make(chan struct{})
}

func (w *worker) finish(r *workerRun) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.runs[r.task] == r {
		w.end(r, "done")
	}
}

func (w *worker) serveStart(rw http.ResponseWriter, _ *http.Request, body orderBody) {
	w.mu.Lock()
	reason := ""
	running := w.runs[body.Task]
	switch {
	case running != nil && running.number == body.Run:
		w.extend(body.Deadline)
		w.mu.Unlock()
		w.answer(rw, http.StatusOK, nil)
		return
	case body.Run <= w.barred[body.Task]:
		reason = "old"
		w.extend(body.Deadline)
	case body.Deadline <= w.clock():
		reason = "late"
	}
	if reason != "" {
		w.mu.Unlock()
		w.answer(rw, http.StatusConflict, map[string]any{"reason": reason})
		return
	}
	var task taskBody
	if json.Unmarshal([]byte(body.Spec), &task) != nil || task.Millis <= 0 {
		w.mu.Unlock()
		w.answer(rw, http.StatusBadRequest, nil)
		return
	}
	r := &workerRun{task: body.Task, number: body.Run, startedAt: time.Now(), length: time.Duration(task.Millis) * time.Millisecond, epoch: body.Fence}
	w.runs[r.task] = r
	w.extend(body.Deadline)
	r.timer = time.AfterFunc(r.length, func() { w.finish(r) })
	w.ledger.started(w, r)
	w.noteLabel(r)
	w.mu.Unlock()
	w.answer(rw, http.StatusOK, nil)
}

func (w *worker) serveStop(rw http.ResponseWriter, _ *http.Request, body orderBody) {
	w.mu.Lock()
	w.barred[body.Task] = max(w.barred[body.Task], body.Run)
	if r := w.runs[body.Task]; r != nil && r.number <= body.Run {
		w.end(r, "stopped")
	}
	w.mu.Unlock()
	w.answer(rw, http.StatusOK, nil)
}

func (w *worker) serveHold(rw http.ResponseWriter, r *http.Request, body orderBody) {
	timeout := time.NewTimer(time.Duration(min(body.Wait, 2000)) * time.Millisecond)
	defer timeout.Stop()
	w.mu.Lock()
	if body.Deadline > 0 {
		w.extend(body.Deadline)
	}
	for len(w.ends) > 0 && w.ends[0][0].(int64) <= body.Ack {
		n := w.ends[0][0].(int64)
		w.ledger.noted(w.id, w.endedAt[n])
		delete(w.endedAt, n)
		w.ends = w.ends[1:]
	}
	for len(w.ends) == 0 && body.Wait > 0 {
		changed := w.changed
		w.mu.Unlock()
		select {
		case <-changed:
		case <-timeout.C:
			body.Wait = 0
		case <-r.Context().Done():
			return
		}
		w.mu.Lock()
	}
	running := [][]any{}
	for _, one := range w.sortedRuns() {
		age := time.Since(one.startedAt)
		saved := ""
		if age >= checkpointTime {
			saved = fmt.Sprintf("%016x", int64(age/checkpointTime))
		}
		running = append(running, []any{one.task, one.number, saved, min(99, int64(100*age/one.length)), 100})
	}
	ends := w.ends[:min(len(w.ends), maxListedEnds)]
	finished := append([][]any{}, ends...)
	w.mu.Unlock()
	w.answer(rw, http.StatusOK, map[string]any{"running": running, "finished": finished})
}

func (w *worker) close() {
	close(w.stopped)
	_ = w.server.Close()
}
