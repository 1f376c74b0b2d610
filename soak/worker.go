package main

import (
	"fmt"
	"os"
	"slices"
	"sync"
	"time"

	"endiveroute.example/endive/platform/stand"
)

// worker is a worker id with its proxy and the incarnation that runs behind it.
type worker struct {
	id    string
	pool  string
	proxy *proxy
	// calls is the address of all incarnations, to which the proxy forwards.
	calls *stand.LateCalls

	mu          sync.Mutex
	incarnation *stand.Worker
	seq         int
	// registeredAt is when the worker last registered itself.
	registeredAt time.Time
	// cutOff is true while the worker is cut off from the entries. registers is false while it can't reach the platform.
	cutOff, registers bool
}

func (s *soak) addWorker(id, pool string) error {
	w := &worker{id: id, pool: pool, registers: true, calls: stand.NewLateCalls(s.restarter.lateSeed(id))}
	w.calls.Observe = s.logLateCall
	address, err := s.serve(w.calls)
	if err != nil {
		return err
	}
	if w.proxy, err = newProxy(address); err != nil {
		return err
	}
	s.startWorker(w)
	s.workers = append(s.workers, w)
	return nil
}

// worker returns the worker with an id.
func (s *soak) worker(id string) *worker {
	return s.workers[slices.IndexFunc(s.workers, func(w *worker) bool { return w.id == id })]
}

// life returns the name of a worker's incarnation.
func (s *soak) life(worker string) string {
	w := s.worker(worker)
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.incarnation.Life()
}

// startWorker starts a new incarnation of a worker behind its proxy.
func (s *soak) startWorker(w *worker) {
	fails := func(string) bool { return false }
	incarnation := stand.NewWorker(w.id, w.pool, s.checks, s.restarter.runTime, fails)
	if w.pool == bulkPool {
		// With the longest tasks the few workers of this pool couldn't complete their jobs in time.
		incarnation.RunTime = formerRunTime
	}
	incarnation.Gangs = s.gangs
	incarnation.Address = w.proxy.address()
	w.mu.Lock()
	defer w.mu.Unlock()
	w.incarnation = incarnation
	w.calls.SetWorker(incarnation)
}

// register renews the worker's registration, unless the worker is cut off from the platform.
func (w *worker) register(store *stand.Store) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	if !w.registers {
		return nil
	}
	w.seq++
	w.registeredAt = time.Now()
	return w.incarnation.Register(store, w.seq, false)
}

// registerWorkers registers all workers at a fixed interval until stop.
func (s *soak) registerWorkers() {
	ticker := time.NewTicker(registerInterval)
	defer ticker.Stop()
	for {
		for _, w := range s.workers {
			if err := w.register(s.store); err != nil {
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

// registeredFor returns how long the platform goes on listing the worker if it doesn't register again.
func (w *worker) registeredFor() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return time.Until(w.registeredAt.Add(registrationLifetime))
}
