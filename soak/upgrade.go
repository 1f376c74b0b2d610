package main

import (
	"encoding/json"
	"fmt"
	"os"
	"sync"
	"syscall"
	"time"

	"endiveroute.example/endive/elect"
)

const (
	// holderPollInterval is the time between two looks at the lease of the pool.
	holderPollInterval = 10 * time.Millisecond
	// replacePause is the pause between two entries that are replaced at the end.
	replacePause = time.Second
)

// upgrade has the two builds of the entry program that run side by side.
type upgrade struct {
	newer, earlier string

	mu sync.Mutex
	// epoch and holder are the epoch of the pool's lease and the build of its holder.
	epoch    uint64
	holder   string
	handOver map[string]int
}

func newUpgrade(newer, earlier string) *upgrade {
	return &upgrade{newer: newer, earlier: earlier, handOver: make(map[string]int)}
}

// firstProgram returns the program with which the entries start.
func (u *upgrade) firstProgram() string {
	if u.earlier != "" {
		return u.earlier
	}
	return u.newer
}

// nextProgram returns the program of an entry that is restarted: any of the two builds.
func (s *soak) nextProgram() string {
	if s.upgrade.earlier != "" && s.rand.Intn(2) == 0 {
		return s.upgrade.earlier
	}
	return s.upgrade.newer
}

// replaceEarlier replaces the entries that run the earlier build, one after the other.
func (s *soak) replaceEarlier() {
	for _, e := range s.entries {
		if e.currentProgram() == s.upgrade.newer {
			continue
		}
		e.signal(syscall.SIGTERM)
		e.wait()
		if err := s.startEntry(e, s.upgrade.newer); err != nil {
			fmt.Fprintln(os.Stderr, "soak: can't start an entry:", err)
		}
		time.Sleep(replacePause)
	}
}

// watchHolder counts the changes of the pool's holder, by the builds of both holders.
func (s *soak) watchHolder() {
	ticker := time.NewTicker(holderPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stopped:
			return
		case <-ticker.C:
		}
		var lease elect.Lease
		if json.Unmarshal(s.store.Get(elect.Table, poolName, "holder"), &lease) == nil && lease.Epoch > 0 {
			s.recordHolder(lease)
		}
	}
}

// recordHolder counts the holder of a new epoch.
func (s *soak) recordHolder(lease elect.Lease) {
	s.upgrade.mu.Lock()
	defer s.upgrade.mu.Unlock()
	if uint64(lease.Epoch) == s.upgrade.epoch {
		return
	}
	s.upgrade.epoch = uint64(lease.Epoch)
	for _, e := range s.entries {
		if e.name != string(lease.Holder) {
			continue
		}
		build := s.upgrade.build(e.currentProgram())
		if s.upgrade.holder != "" {
			s.upgrade.handOver[s.upgrade.holder+" to "+build]++
		}
		s.upgrade.holder = build
	}
}

func (u *upgrade) build(program string) string {
	if program == u.newer {
		return "new"
	}
	return "earlier"
}

// report returns the changes of the pool's holder, by builds; empty without an earlier build.
func (u *upgrade) report() string {
	if u.earlier == "" {
		return ""
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return fmt.Sprintf(", holders %v", u.handOver)
}
