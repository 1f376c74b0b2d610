package main

import (
	"encoding/json"
	"fmt"
	"math/rand"
	"os"
	"sync"
	"syscall"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/elect"
)

const (
	// holderPollInterval is the time between two looks at the leases of the pools.
	holderPollInterval = 10 * time.Millisecond
	// replacePause is the pause between two entries that are replaced at the end.
	replacePause = time.Second
)

// upgrade has the two builds of the entry program that run side by side.
type upgrade struct {
	newer, earlier string

	mu      sync.Mutex
	holders map[string]poolHolder
	// changes counts the changes of holders by the builds of both.
	changes map[string]int
}

// poolHolder is the epoch of a pool's lease and the build of its holder.
type poolHolder struct {
	epoch endive.Epoch
	build string
}

func newUpgrade(newer, earlier string) *upgrade {
	return &upgrade{newer: newer, earlier: earlier, holders: make(map[string]poolHolder), changes: make(map[string]int)}
}

// firstProgram returns the program with which the entries start.
func (u *upgrade) firstProgram() string {
	if u.earlier != "" {
		return u.earlier
	}
	return u.newer
}

// nextProgram returns the program of an entry that is restarted: any of the two builds.
func (s *soak) nextProgram() string { return s.upgrade.anyProgram(s.rand) }

// anyProgram returns any of the two builds.
func (u *upgrade) anyProgram(r *rand.Rand) string {
	if u.earlier != "" && r.Intn(2) == 0 {
		return u.earlier
	}
	return u.newer
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

// watchHolders counts the changes of the pools' holders, by the builds of both holders.
func (s *soak) watchHolders() {
	ticker := time.NewTicker(holderPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-s.stopped:
			return
		case <-ticker.C:
		}
		for _, pool := range []string{mainPool, bulkPool} {
			var lease elect.Lease
			if json.Unmarshal(s.store.Get(elect.Table, pool, "holder"), &lease) == nil {
				s.recordHolder(pool, lease)
			}
		}
	}
}

// holder returns the entry that holds a pool; nil if none does.
func (s *soak) holder(pool string) *entry {
	var lease elect.Lease
	if json.Unmarshal(s.store.Get(elect.Table, pool, "holder"), &lease) != nil {
		return nil
	}
	for _, e := range s.entries {
		if e.name == string(lease.Holder) {
			return e
		}
	}
	return nil
}

// recordHolder counts the holder of a new epoch.
func (s *soak) recordHolder(pool string, lease elect.Lease) {
	u := s.upgrade
	u.mu.Lock()
	defer u.mu.Unlock()
	old := u.holders[pool]
	if lease.Epoch == old.epoch {
		return
	}
	for _, e := range s.entries {
		if e.name != string(lease.Holder) {
			continue
		}
		build := u.build(e.currentProgram())
		if old.build != "" {
			u.changes[old.build+" to "+build]++
		}
		u.holders[pool] = poolHolder{epoch: lease.Epoch, build: build}
	}
}

func (u *upgrade) build(program string) string {
	if program == u.newer {
		return "new"
	}
	return "earlier"
}

// report returns the changes of the pools' holders, by builds; empty without an earlier build.
func (u *upgrade) report() string {
	if u.earlier == "" {
		return ""
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	return fmt.Sprintf(", holders %v", u.changes)
}
