package main

import (
	"context"
	"errors"
	"fmt"
	"math/rand"
	randv2 "math/rand/v2"
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
	// taskDuration is the run time of each task.
	taskDuration = 300 * time.Millisecond
	// registerInterval is the time between two registrations of a worker.
	registerInterval = 500 * time.Millisecond
	// completionTimeout bounds the wait for accepted jobs to complete after the faults.
	completionTimeout = 45 * time.Second
	// maxFaultPause is the longest pause between two faults.
	maxFaultPause = 900 * time.Millisecond
	// maxFaultDuration is the longest duration of a fault.
	maxFaultDuration = 3 * time.Second
	// minPort and maxPort bound the ports of the entries.
	minPort, maxPort = 10000, 32000
)

// soak is one run of the soak test.
type soak struct {
	dir          string
	entryProgram string
	rand         *rand.Rand
	store        *stand.Store
	entries      []*entry
	workers      []*worker
	checks       *checks
	clients      *clients
	hot          *clients
	accounts     *accounts
	faultCount   int
	stopped      chan struct{}
}

// entry is one entry process and the proxy through which it reaches the store.
type entry struct {
	name          string
	clientAddress string
	settings      string
	storeProxy    *proxy

	mu      sync.Mutex
	command *exec.Cmd
}

// worker is a worker id with its proxy and the incarnation that runs behind it.
type worker struct {
	id    string
	pool  string
	proxy *proxy

	mu          sync.Mutex
	incarnation *stand.Worker
	seq         int
}

func newSoak(program, dir string, seed int64, entries, workers int) (*soak, error) {
	dir = filepath.Join(dir, fmt.Sprintf("soak-%d-%d", os.Getpid(), seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	s := &soak{
		dir: dir, entryProgram: program, rand: rand.New(rand.NewSource(seed)), store: stand.NewStore(), checks: newChecks(),
		stopped: make(chan struct{}),
	}
	s.accounts = newAccounts(s, seed)
	s.checks.usage = s.accounts.usage
	s.clients = newClients(s, steadyAccount, seed+1)
	s.hot = newClients(s, hotAccount, -seed)
	if err := s.accounts.change(hotCaps[0], true); err != nil {
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
		if err := s.addWorker(fmt.Sprintf("i-%d", i), "svc"); err != nil {
			return nil, err
		}
	}
	for i := range bulkWorkers {
		if err := s.addWorker(fmt.Sprintf("b-%d", i), bulkPool); err != nil {
			return nil, err
		}
	}
	go s.registerWorkers()
	for i := range entries {
		if err := s.addEntry(i, store, advice); err != nil {
			return nil, err
		}
	}
	return s, nil
}

// serve starts an HTTP server for handler in this process and returns its address.
func (s *soak) serve(handler http.Handler) (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go (&server{listener: listener, handler: handler}).run()
	return listener.Addr().String(), nil
}

// server serves one simulated service until the process exits.
type server struct {
	listener net.Listener
	handler  http.Handler
}

func (s *server) run() { _ = http.Serve(s.listener, s.handler) }

func (s *soak) addWorker(id, pool string) error {
	w := &worker{id: id, pool: pool}
	if err := s.startWorker(w); err != nil {
		return err
	}
	s.workers = append(s.workers, w)
	return nil
}

// startWorker starts a new incarnation of a worker behind its proxy.
func (s *soak) startWorker(w *worker) error {
	duration := func(string) time.Duration { return taskDuration }
	fails := func(string) bool { return false }
	incarnation := stand.NewWorker(w.id, w.pool, s.checks, duration, fails)
	address, err := s.serve(incarnation)
	if err != nil {
		return err
	}
	if w.proxy == nil {
		if w.proxy, err = newProxy(address); err != nil {
			return err
		}
	}
	w.proxy.setTarget(address)
	incarnation.Address = w.proxy.address()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incarnation = incarnation
	return nil
}

// registerWorkers registers all workers at a fixed interval until stop.
func (s *soak) registerWorkers() {
	ticker := time.NewTicker(registerInterval)
	defer ticker.Stop()
	for {
		for _, w := range s.workers {
			w.mu.Lock()
			w.seq++
			incarnation, seq := w.incarnation, w.seq
			w.mu.Unlock()
			if err := incarnation.Register(s.store, seq, false); err != nil {
				fmt.Fprintln(os.Stderr, "soak: can't register a worker:", err)
			}
		}
		select {
		case <-s.stopped:
			return
		case <-ticker.C:
		}
	}
}

// freeAddress returns a loopback address with an unused port below those that the system assigns
// by itself. The port has to stay free while an entry is restarted.
func freeAddress() (string, error) {
	for {
		address := fmt.Sprintf("127.0.0.1:%d", minPort+randv2.IntN(maxPort-minPort))
		listener, err := net.Listen("tcp", address)
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return "", err
		}
		return address, listener.Close()
	}
}

func (s *soak) addEntry(i int, store, advice string) error {
	storeProxy, err := newProxy(store)
	if err != nil {
		return err
	}
	var ports [4]string
	for n := range ports {
		if ports[n], err = freeAddress(); err != nil {
			return err
		}
	}
	e := &entry{name: fmt.Sprintf("entry-%d", i), clientAddress: ports[0], storeProxy: storeProxy}
	e.settings = filepath.Join(s.dir, e.name+".toml")
	settings := fmt.Sprintf("name = %q\nregion = \"r\"\nzone = \"z\"\n[listen]\ncallers = %q\nhealth = %q\npeers = %q\nmetrics = %q\n"+
		"[platform]\nstore = %q\nadvice = %q\n[limits]\ncores = 1\n", e.name, ports[0], ports[1], ports[2], ports[3], storeProxy.address(), advice)
	settings += s.accounts.settings()
	if err := os.WriteFile(e.settings, []byte(settings), 0o644); err != nil {
		return err
	}
	s.entries = append(s.entries, e)
	return s.startEntry(e)
}

// startEntry starts an entry's process and appends its output to the entry's log file.
func (s *soak) startEntry(e *entry) error {
	log, err := os.OpenFile(filepath.Join(s.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(s.entryProgram, "--cell", e.settings)
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
		// An error means that the process has already exited.
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
		// The injected fault causes the exit, so that the exit status is ignored.
		_ = command.Wait()
	}
}

// run injects faults for the given duration, waits for the accepted jobs to complete
// and returns the findings.
func (s *soak) run(duration time.Duration) []string {
	ctx, cancel := context.WithTimeout(context.Background(), duration)
	defer cancel()
	time.Sleep(2 * time.Second)
	go s.clients.run(ctx)
	go s.hot.run(ctx)
	go s.accounts.run(ctx)
	for ctx.Err() == nil {
		time.Sleep(time.Duration(s.rand.Int63n(int64(maxFaultPause))))
		s.injectFault(time.Duration(s.rand.Int63n(int64(maxFaultDuration))))
	}
	s.revertFaults()
	var unfinished []string
	for deadline := time.Now().Add(completionTimeout); time.Now().Before(deadline); time.Sleep(time.Second) {
		unfinished = append(s.clients.unfinished(), s.hot.unfinished()...)
		unfinished = append(unfinished, s.accounts.unsettled()...)
		if len(unfinished) == 0 {
			break
		}
	}
	found := s.checks.findings(s.clients.onlyRefused, s.hot.onlyRefused, s.accounts.refused)
	found = append(found, s.accounts.findings()...)
	found = append(found, s.logFindings()...)
	for _, job := range unfinished {
		found = append(found, "at the end "+job)
	}
	return found
}

// stop kills all processes that this run started.
func (s *soak) stop() {
	close(s.stopped)
	for _, e := range s.entries {
		e.signal(syscall.SIGKILL)
		e.wait()
	}
}
