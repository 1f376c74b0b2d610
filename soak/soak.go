package main

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"endiveroute.example/endive/platform/stand"
)

const (
	// taskTime is how long a task runs.
	taskTime = 300 * time.Millisecond
	// beat lies between two registrations of a worker.
	beat = 500 * time.Millisecond
	// settleTime bounds the wait for all accepted work to end after the faults.
	settleTime = 45 * time.Second
	// faultPause is the longest pause between two faults.
	faultPause = 900 * time.Millisecond
	// faultTime is the longest that a fault lasts.
	faultTime = 3 * time.Second
)

// soak is one run.
type soak struct {
	dir     string
	program string
	rand    *rand.Rand
	store   *stand.Store
	entries []*entry
	workers []*worker
	checks  *checks
	clients *clients
	faults  int
	ended   chan struct{}
}

// entry is one entry process with the proxies that it goes through.
type entry struct {
	name     string
	callers  string
	settings string
	storeVia *proxy

	mu      sync.Mutex
	command *exec.Cmd
}

// worker is a worker's id, with the life that runs behind its proxy.
type worker struct {
	id  string
	via *proxy

	mu   sync.Mutex
	life *stand.Worker
	seq  int
}

func newSoak(program, dir string, seed int64, entries, workers int) (*soak, error) {
	dir = filepath.Join(dir, fmt.Sprintf("soak-%d-%d", os.Getpid(), seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	s := &soak{
		dir: dir, program: program, rand: rand.New(rand.NewSource(seed)), store: stand.NewStore(), checks: newChecks(),
		ended: make(chan struct{}),
	}
	s.clients = newClients(s, seed+1)
	if err := s.configure(); err != nil {
		return nil, err
	}
	store, err := s.serve(s.store)
	if err != nil {
		return nil, err
	}
	advice, err := s.serve(stand.AdviceService{ValidityMillis: 2000})
	if err != nil {
		return nil, err
	}
	for i := range workers {
		if err := s.addWorker(fmt.Sprintf("i-%d", i)); err != nil {
			return nil, err
		}
	}
	go s.run()
	for i := range entries {
		if err := s.addEntry(i, store, advice); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// configure writes the operators' configuration.
func (s *soak) configure() error {
	route := func(name, prefix string, hint map[string]any) map[string]any {
		return map[string]any{
			"name": name, "host": "a.example", "prefix": prefix, "service": "svc", "max_attempts": 3, "slack_factor": 2,
			"target_latency_ms": 600, "hint": hint,
		}
	}
	hint := map[string]any{"decision_ms": 5, "interval_ms": 0.5, "validity_ms": 2000}
	return s.store.Put("op", "", "config", map[string]any{
		"version":  1,
		"routes":   []map[string]any{route("quick", "/quick/", nil), route("slow", "/slow/", hint)},
		"services": []map[string]any{{"name": "svc"}},
	})
}

// serve starts a stand-in in this process.
func (s *soak) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go (&server{listener: listener, handler: handler}).run()
	return listener.Addr().String(), nil
}

// server serves one stand-in until the process ends.
type server struct {
	listener net.Listener
	handler  http.Handler
}

func (s *server) run() { _ = http.Serve(s.listener, s.handler) }

func (s *soak) addWorker(id string) error {
	w := &worker{id: id}
	if err := s.bear(w); err != nil {
		return err
	}
	s.workers = append(s.workers, w)
	return nil
}

// bear begins a life of a worker behind its proxy.
func (s *soak) bear(w *worker) error {
	took := func(string) time.Duration { return taskTime }
	fails := func(string) bool { return false }
	life := stand.NewWorker(w.id, "svc", s.checks, took, fails)
	address, err := s.serve(life)
	if err != nil {
		return err
	}
	if w.via == nil {
		if w.via, err = newProxy(address); err != nil {
			return err
		}
	}
	w.via.retarget(address)
	life.Address = w.via.address()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.life = life
	return nil
}

// run registers the workers again and again.
func (s *soak) run() {
	ticker := time.NewTicker(beat)
	defer ticker.Stop()
	for {
		for _, w := range s.workers {
			w.mu.Lock()
			w.seq++
			life, seq := w.life, w.seq
			w.mu.Unlock()
			if err := life.Register(s.store, seq, false); err != nil {
				fmt.Fprintln(os.Stderr, "a worker can't register:", err)
			}
		}
		select {
		case <-s.ended:
			return
		case <-ticker.C:
		}
	}
}

// freeAddress returns a loopback address that nobody listens on.
func freeAddress() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return listener.Addr().String(), nil
}

func (s *soak) addEntry(i int, store, advice string) error {
	via, err := newProxy(store)
	if err != nil {
		return err
	}
	var ports [4]string
	for n := range ports {
		if ports[n], err = freeAddress(); err != nil {
			return err
		}
	}
	e := &entry{name: fmt.Sprintf("entry-%d", i), callers: ports[0], storeVia: via}
	e.settings = filepath.Join(s.dir, e.name+".toml")
	text := fmt.Sprintf("name = %q\nregion = \"r\"\nzone = \"z\"\n[listen]\ncallers = %q\nhealth = %q\npeers = %q\nmetrics = %q\n"+
		"[platform]\nstore = %q\nadvice = %q\n[limits]\ncores = 1\n", e.name, ports[0], ports[1], ports[2], ports[3], via.address(), advice)
	if err := os.WriteFile(e.settings, []byte(text), 0o644); err != nil {
		return err
	}
	s.entries = append(s.entries, e)
	return s.start(e)
}

// start starts an entry's process, which adds to its log.
func (s *soak) start(e *entry) error {
	log, err := os.OpenFile(filepath.Join(s.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(s.program, "--cell", e.settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.command = command
	return nil
}

// signal sends a signal to an entry's process.
func (e *entry) signal(signal syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.command != nil {
		// A process that has ended already needs no signal.
		_ = e.command.Process.Signal(signal)
	}
}

// wait waits for an entry's process to end.
func (e *entry) wait() {
	e.mu.Lock()
	command := e.command
	e.command = nil
	e.mu.Unlock()
	if command != nil {
		// How it ended is the fault's doing.
		_ = command.Wait()
	}
}

// play injects faults for a while and returns what was found.
func (s *soak) play(length time.Duration) []string {
	ctx, cancel := context.WithTimeout(context.Background(), length)
	defer cancel()
	time.Sleep(2 * time.Second)
	go s.clients.run(ctx)
	for ctx.Err() == nil {
		time.Sleep(time.Duration(s.rand.Int63n(int64(faultPause))))
		s.fault(time.Duration(s.rand.Int63n(int64(faultTime))))
	}
	s.heal()
	var left []string
	for deadline := time.Now().Add(settleTime); time.Now().Before(deadline); time.Sleep(time.Second) {
		if left = s.clients.unfinished(); len(left) == 0 {
			break
		}
	}
	found := s.checks.findings(s.clients.onlyRefused)
	for _, job := range left {
		found = append(found, "at the end job "+job)
	}
	return found
}

// end ends all processes that this run started.
func (s *soak) end() {
	close(s.ended)
	for _, e := range s.entries {
		e.signal(syscall.SIGKILL)
		e.wait()
	}
}
