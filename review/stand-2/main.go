// Command rig plays the review's cases: stand-ins of the platform's store, of executors and of clients, around
// entries that run as processes of their own.
package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"runtime"
	"syscall"
	"time"
)

// The exit statuses of a case.
const (
	exitHeld     = 0
	exitBroken   = 1
	exitCouldNot = 2
)

// cases are the cases by name. Each returns whether the rule held.
var cases = map[string]func(*Rig) (bool, error){
	"takeover": playTakeover,
	"watcher":  playWatcher,
	"wide":     playWide,
}

// Rig is what a case is played with.
type Rig struct {
	record  *Record
	dir     string
	program string
	trouble bool
	store   *Store
	entries []*Entry
	client  *Client
}

func main() {
	// Entries end with the thread that started them.
	runtime.LockOSThread()
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: rig CASE ENTRY-PROGRAM RECORD")
		os.Exit(exitCouldNot)
	}
	os.Exit(run(os.Args[1], os.Args[2], os.Args[3]))
}

func run(name, program, recordPath string) int {
	record, err := newRecord(recordPath)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitCouldNot
	}
	dir, err := os.MkdirTemp("", "review-")
	if err != nil {
		record.line("could not run: %v", err)
		return exitCouldNot
	}
	defer os.RemoveAll(dir)
	r := &Rig{record: record, dir: dir, program: program, trouble: os.Getenv("TROUBLE") != "0"}
	defer r.close()
	held, err := cases[name](r)
	switch {
	case err != nil:
		record.line("could not run: %v", err)
		return exitCouldNot
	case held:
		record.line("the rule held")
		return exitHeld
	default:
		record.line("the rule was broken")
		return exitBroken
	}
}

// startStore starts the store on a loopback address and writes the configuration.
func (r *Rig) startStore(config any) (string, error) {
	r.store = newStore(r.record)
	r.store.put("op", "config", config)
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	go func() { _ = http.Serve(listener, r.store) }()
	return listener.Addr().String(), nil
}

// startEntries starts entries as in a small deployment, and waits until all of them take clients.
func (r *Rig) startEntries(store, host string) error {
	for _, place := range []struct{ name, zone, region string }{
		{"edge-caernarfon-1", "caernarfon", "gogledd"},
		{"edge-caernarfon-2", "caernarfon", "gogledd"},
		{"edge-caernarfon-3", "caernarfon", "gogledd"},
		{"edge-carmarthen-1", "carmarthen", "de"},
		{"edge-carmarthen-2", "carmarthen", "de"},
		{"edge-bangor-1", "bangor", "gogledd"},
	} {
		e, err := newEntry(r.program, r.dir, place.name, place.zone, place.region, store)
		if err != nil {
			return err
		}
		if err := e.start(); err != nil {
			return err
		}
		r.entries = append(r.entries, e)
	}
	r.client = &Client{host: host, entries: r.entries}
	return waitFor(20*time.Second, "the entries to be ready", func() bool {
		for _, e := range r.entries {
			if !e.isReady() {
				return false
			}
		}
		return true
	})
}

// lastWriter returns the running entry that has taken up the pool, by its log, and so writes to the store under
// conditions; nil if there is none.
func (r *Rig) lastWriter(pool string) *Entry {
	for _, e := range r.entries {
		if e.running() && e.logHas("pool is held", pool) {
			return e
		}
	}
	return nil
}

// close ends all processes of the rig.
func (r *Rig) close() {
	for _, e := range r.entries {
		if e.running() {
			e.signal(syscall.SIGKILL)
			<-e.ended
		}
	}
	if keep := os.Getenv("KEEP_LOGS"); keep != "" {
		for _, e := range r.entries {
			data, _ := os.ReadFile(filepath.Join(r.dir, e.name+".log"))
			_ = os.WriteFile(filepath.Join(keep, e.name+".log"), data, 0o600)
		}
	}
}

// waitFor waits until a condition holds.
func waitFor(limit time.Duration, what string, done func() bool) error {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		if done() {
			return nil
		}
	}
	return fmt.Errorf("gave up waiting for %s after %s", what, limit)
}
