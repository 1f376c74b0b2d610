package main

import (
	"fmt"
	"time"
)

func init() { cases["takeover"] = playTakeoverBehindSlowLink }

// playTakeoverBehindSlowLink is the trial of KNOWN-RED.txt: the answers of an executor are lost, the task
// on it ends, the holder is killed, and the answers arrive again later.
func playTakeoverBehindSlowLink(s *scene) ([]string, error) {
	s.configure(3, []string{"porsiyon"}, route{"r-1", host, "/lohu930/", "porsiyon", 0})
	err := s.begin(3,
		workerSpec{"i-p1", "porsiyon", "marmara-a", 32000, 65536, []string{"a", "r1-1"}},
		workerSpec{"i-p2", "porsiyon", "marmara-a", 32000, 65536, []string{"a", "r1-1"}},
	)
	if err != nil {
		return nil, err
	}
	const id = "5c0e7a21d94b36f8"
	if status, _ := s.request(0, "POST", host, "/lohu930/"+id, jobOf(1, 3000, 1250)); status != 200 {
		return nil, fmt.Errorf("the job wasn't accepted")
	}
	time.Sleep(1200 * time.Millisecond)
	w := s.workers[0]
	w.mute(s.trouble)
	s.log.add("worker i-p1: its answers are lost: %v", s.trouble)
	time.Sleep(150 * time.Millisecond)
	if holder := s.holder(); holder != nil {
		holder.kill()
		s.log.add("%s, which holds the pool, is killed", holder.name)
	}
	time.Sleep(8650 * time.Millisecond)
	w.mute(false)
	s.log.add("worker i-p1: its answers arrive again")
	time.Sleep(6 * time.Second)
	s.request(1, "GET", host, "/lohu930/"+id, "")
	return s.ledger.twice(), nil
}

// mute makes the worker carry out orders without an answer, or ends that.
func (w *worker) mute(on bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.muted = on
}

// silent reports whether the answers of the worker are lost.
func (w *worker) silent() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.muted
}
