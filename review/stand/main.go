// Command standin plays the review's cases: it is the platform, the executors, the operator and the
// clients, and starts the product's entries as separate processes.
package main

import (
	"fmt"
	"net/http"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses, as the issue of the review sets them.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// deadline is the client's deadline on the sheet of the site.
const clientDeadline = 3 * time.Second

// scene is a small deployment.
type scene struct {
	log     *record
	store   *store
	ledger  *ledger
	entries []*entryProcess
	workers []*worker
	trouble bool
	program string
	folder  string
	address string
}

// cases are the cases by number.
var cases = map[string]func(*scene) (broken []string, err error){}

func main() {
	if len(os.Args) != 4 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER ENTRY")
		os.Exit(exitNotRun)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, folder, program string) int {
	play := cases[name]
	if play == nil {
		fmt.Fprintln(os.Stderr, "there is no such case")
		return exitNotRun
	}
	file, err := os.Create(filepath.Join(folder, "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	temporary, err := os.MkdirTemp("", "review-")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	log := &record{file: file, start: time.Now()}
	s := &scene{log: log, store: newStore(log), ledger: newLedger(log), trouble: os.Getenv("TROUBLE") != "0", program: program, folder: temporary}
	defer s.close()
	log.add("case %s, trouble %v", name, s.trouble)
	// A signal ends the play and all processes that it has started.
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	go func() {
		<-signals
		s.close()
		os.Exit(exitNotRun)
	}()
	broken, err := s.play(play)
	switch {
	case err != nil:
		log.add("the case couldn't run: %v", err)
		fmt.Println("not run:", err)
		return exitNotRun
	case len(broken) > 0:
		for _, line := range broken {
			log.add("BROKEN: %s", line)
			fmt.Println("broken:", line)
		}
		return exitBroken
	}
	log.add("the rule held")
	fmt.Println("held")
	return exitHeld
}

func (s *scene) play(play func(*scene) ([]string, error)) ([]string, error) {
	listener, err := listenFree()
	if err != nil {
		return nil, err
	}
	s.address = listener.Addr().String()
	go func() { _ = http.Serve(listener, s.store.handler()) }()
	return play(s)
}

// begin starts workers and entries, and waits until the entries are ready.
func (s *scene) begin(entries int, specs ...workerSpec) error {
	for _, spec := range specs {
		w, err := startWorker(spec, s.store, s.ledger)
		if err != nil {
			return err
		}
		s.workers = append(s.workers, w)
	}
	for i := range entries {
		e, err := newEntry(s.program, s.folder, fmt.Sprintf("edge-marmara-a-%d", i+1), s.address)
		if err != nil {
			return err
		}
		s.entries = append(s.entries, e)
		if err := e.start(); err != nil {
			return err
		}
	}
	until := time.Now().Add(15 * time.Second)
	for _, e := range s.entries {
		for !e.ready() {
			if time.Now().After(until) {
				return fmt.Errorf("%s isn't ready", e.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
	// Traffic starts 10 s after the machines do.
	time.Sleep(10*time.Second - time.Since(s.log.start))
	s.log.add("%d entries and %d workers are ready", len(s.entries), len(s.workers))
	return nil
}

func (s *scene) close() {
	for _, e := range s.entries {
		e.kill()
		_ = e.output.Close()
	}
	for _, w := range s.workers {
		w.close()
	}
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(s.folder)
	} else {
		fmt.Println("logs are in", s.folder)
	}
	_ = s.log.file.Close()
}

// route is a route of the operator's configuration.
type route struct {
	name, host, prefix, service string
	priority                    int
}

// configure writes a configuration as the operator does.
func (s *scene) configure(version int, services []string, routes ...route) {
	var listed, named []map[string]any
	for _, r := range routes {
		listed = append(listed, map[string]any{
			"name": r.name, "host": r.host, "prefix": r.prefix, "service": r.service, "priority": r.priority, "max_attempts": 4,
			"slack_factor": 4.0, "target_latency_ms": 3000,
		})
	}
	for _, service := range services {
		named = append(named, map[string]any{"name": service, "enforces_capacity": false})
	}
	s.store.put("op", "config", map[string]any{"version": version, "routes": listed, "services": named, "limits": map[string]any{"max_body_bytes": 262144}})
	text := ""
	for _, r := range routes {
		text += fmt.Sprintf(" %s %s%s -> %s;", r.name, r.host, r.prefix, r.service)
	}
	s.log.add("operator: version %d is acknowledged:%s", version, text)
}

// request sends a client's request to an entry and records it.
func (s *scene) request(entry int, method, host, path, body string) (int, string) {
	e := s.entries[entry%len(s.entries)]
	began := time.Now()
	status, answer, err := call(method, "http://"+e.callers+path, host, body, clientDeadline)
	if err != nil {
		answer = "no answer: " + err.Error()
	}
	s.log.add("client: %s %s to %s: %d %s, after %d ms", method, path, e.name, status, answer, time.Since(began).Milliseconds())
	return status, answer
}
