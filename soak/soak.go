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
	"sync/atomic"
	"syscall"
	"time"

	"endiveroute.example/endive/platform/stand"
)

const (
	// taskDuration is the run time of most tasks.
	taskDuration = 300 * time.Millisecond
	// completionTimeout bounds the wait for accepted jobs to complete after the faults.
	completionTimeout = 45 * time.Second
	// maxFaultPause is the longest pause between two faults, and maxCalmPause the one of the seeds in
	// calmSeeds: there the holders last, so that a task can start many times under one holder.
	maxFaultPause, maxCalmPause = 900 * time.Millisecond, 6 * time.Second
	// calmSeeds is how many seeds there are for each one with few faults.
	calmSeeds = 2
	// maxFaultDuration is the longest duration of a fault.
	maxFaultDuration = 3 * time.Second
)

// soak is one run of the soak test.
type soak struct {
	dir       string
	upgrade   *upgrade
	rand      *rand.Rand
	store     *stand.Store
	peerLinks *peerLinks
	entries   []*entry
	// workers are those of the main pool, mainWorkers in number, and those of the bulk pool.
	workers     []*worker
	mainWorkers int
	gangs       *stand.Gangs
	checks      *checks
	clients     *clients
	hot         *clients
	accounts    *accounts
	cutter      *cutter
	restarter   *restarter
	delayer     *delayer
	// maxPause is the longest pause between two faults.
	maxPause   time.Duration
	faultCount int
	stopped    chan struct{}
}

// entry is one entry process and the proxy through which it reaches the store.
type entry struct {
	name          string
	clientAddress string
	settings      string
	storeProxy    *proxy

	// restart is held while the process is replaced.
	restart sync.Mutex

	mu      sync.Mutex
	process *entryProcess
	// program is the build that the entry runs.
	program string
}

// entryProcess is a process of an entry.
type entryProcess struct {
	command *exec.Cmd
	checks  *checks
	entry   string
	build   string
	// ended is closed once the process has ended.
	ended chan struct{}
	// ending is true once the process was sent a signal that ends it.
	ending atomic.Bool
}

// run waits for the process to end, and records a violation if no signal was sent to end it.
func (p *entryProcess) run() {
	err := p.command.Wait()
	if !p.ending.Load() {
		p.checks.addViolation(fmt.Sprintf("%s of the %s build ended by itself: %v", p.entry, p.build, err))
	}
	close(p.ended)
}

func newSoak(upgrade *upgrade, accounts, restarts bool, dir string, seed int64, entries, workers int) (*soak, error) {
	dir = filepath.Join(dir, fmt.Sprintf("soak-%d-%d", os.Getpid(), seed))
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, err
	}
	log, err := os.Create(filepath.Join(dir, "events.log"))
	if err != nil {
		return nil, err
	}
	s := &soak{
		dir: dir, upgrade: upgrade, rand: rand.New(rand.NewSource(seed)), store: stand.NewStore(), checks: newChecks(&events{log: log}),
		mainWorkers: workers, maxPause: maxFaultPause, stopped: make(chan struct{}),
	}
	if seed%calmSeeds == 0 {
		s.maxPause = maxCalmPause
	}
	s.gangs = stand.NewGangs(s.checks.gangSize)
	s.accounts = newAccounts(s, accounts, seed)
	s.checks.usage = s.accounts.usage
	s.cutter = newCutter(s, seed+2)
	s.checks.cutter = s.cutter
	s.restarter = newRestarter(s, restarts, seed)
	s.delayer = newDelayer(s, restarts, seed)
	s.clients = newClients(s, steadyAccount, seed+1)
	s.clients.maxTasks = max(fewTasks, workers/workersPerTask)
	s.hot = newClients(s, hotAccount, -seed)
	if err := s.accounts.change(hotCaps[0], true); err != nil {
		return nil, err
	}
	s.peerLinks = newPeerLinks(s.store)
	store, err := s.serve(s.store)
	if err != nil {
		return nil, err
	}
	advice, err := s.serve(stand.AdviceService{ValidityMillis: 2000, Life: s.life})
	if err != nil {
		return nil, err
	}
	for i := range workers {
		if err := s.addWorker(fmt.Sprintf("i-%d", i), mainPool); err != nil {
			return nil, err
		}
	}
	for i := range workers / workersPerBulk {
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
	go s.watchHolders()
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

func (s *soak) addEntry(i int, store, advice string) error {
	storeProxy, err := newProxy(store)
	if err != nil {
		return err
	}
	var addresses [4]string
	for n := range addresses {
		if addresses[n], err = freeAddress(entryPorts); err != nil {
			return err
		}
	}
	e := &entry{name: fmt.Sprintf("entry-%d", i), clientAddress: addresses[0], storeProxy: storeProxy}
	e.settings = filepath.Join(s.dir, e.name+".toml")
	settings := fmt.Sprintf("name = %q\nregion = \"r\"\nzone = \"z\"\n[listen]\ncallers = %q\nhealth = %q\npeers = %q\nmetrics = %q\n"+
		"[platform]\nstore = %q\nadvice = %q\n[limits]\ncores = 1\n", e.name, addresses[0], addresses[1], addresses[2], addresses[3], storeProxy.address(), advice)
	settings += s.accounts.settings()
	if err := os.WriteFile(e.settings, []byte(settings), 0o644); err != nil {
		return err
	}
	s.entries = append(s.entries, e)
	return s.startEntry(e, s.upgrade.firstProgram())
}

// startEntry starts an entry's process and appends its output to the entry's log file.
func (s *soak) startEntry(e *entry, program string) error {
	log, err := os.OpenFile(filepath.Join(s.dir, e.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return err
	}
	defer log.Close()
	command := exec.Command(program, "--cell", e.settings)
	command.Stdout, command.Stderr = log, log
	if err := command.Start(); err != nil {
		return err
	}
	process := &entryProcess{command: command, checks: s.checks, entry: e.name, build: s.upgrade.build(program), ended: make(chan struct{})}
	go process.run()
	e.mu.Lock()
	defer e.mu.Unlock()
	e.process, e.program = process, program
	return nil
}

// currentProgram returns the build that the entry runs.
func (e *entry) currentProgram() string {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.program
}

// signal sends a signal to an entry's process.
func (e *entry) signal(signal syscall.Signal) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.process == nil {
		return
	}
	if signal == syscall.SIGKILL || signal == syscall.SIGTERM {
		e.process.ending.Store(true)
	}
	// An error means that the process has already exited.
	_ = e.process.command.Process.Signal(signal)
}

// wait waits for an entry's process to end.
func (e *entry) wait() {
	e.mu.Lock()
	process := e.process
	e.process = nil
	e.mu.Unlock()
	if process != nil {
		<-process.ended
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
	for _, e := range s.entries {
		go (&watcher{clients: s.clients, entry: e}).run()
		go (&watcher{clients: s.hot, entry: e}).run()
	}
	for range maxSeries {
		s.cutter.beginSeries()
	}
	go s.restarter.run(ctx)
	go s.delayer.run(ctx)
	for ctx.Err() == nil {
		time.Sleep(time.Duration(s.rand.Int63n(int64(s.maxPause))))
		s.injectFault(time.Duration(s.rand.Int63n(int64(maxFaultDuration))))
	}
	s.revertFaults()
	s.replaceEarlier()
	var unfinished []string
	for deadline := time.Now().Add(s.restarter.completionTimeout()); time.Now().Before(deadline); time.Sleep(time.Second) {
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
