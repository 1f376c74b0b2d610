package main

import (
	"fmt"
	"time"
)

func init() { cases["3"] = playMovedRetry }

const host = "ficu95.example"

// jobOf returns the body of a job with one step.
func jobOf(tasks int, cpu, millis int64) string {
	return fmt.Sprintf(`{"task_spec":"{\"ms\":%d}","steps":[{"count":%d,"cpu":%d,"mem_mb":256,"estimate_ms":%d}]}`, millis, tasks, cpu, millis)
}

// playMovedRetry moves a queue to another service while a job of the queue runs, and lets the
// client's request arrive once more.
func playMovedRetry(s *scene) ([]string, error) {
	services := []string{"porsiyon", "gorsel"}
	s.configure(3, services, route{"r-1", host, "/lohu930/", "porsiyon", 0}, route{"r-2", host, "/wex4/", "gorsel", 0})
	err := s.begin(3,
		workerSpec{"i-p1", "porsiyon", "marmara-a", 32000, 65536, []string{"a", "r1-1"}},
		workerSpec{"i-p2", "porsiyon", "marmara-a", 32000, 65536, []string{"a", "r1-1"}},
		workerSpec{"i-g1", "gorsel", "marmara-a", 64000, 262144, []string{"a", "r2-1"}},
		workerSpec{"i-g2", "gorsel", "marmara-a", 64000, 262144, []string{"a", "r2-1"}},
	)
	if err != nil {
		return nil, err
	}
	const id = "5c0e7a21d94b36f8"
	path, job := "/lohu930/"+id, jobOf(2, 3000, 9000)
	if status, _ := s.request(0, "POST", host, path, job); status != 200 {
		return nil, fmt.Errorf("the job wasn't accepted")
	}
	for began := time.Now(); s.ledger.startsOf(id+".0.0.0") == 0; time.Sleep(20 * time.Millisecond) {
		if time.Since(began) > 5*time.Second {
			return nil, fmt.Errorf("the job wasn't started")
		}
	}
	if s.trouble {
		// The route is removed, and one with another name leads the same requests to the other service.
		s.configure(8, services, route{"r-3", host, "/lohu930/", "gorsel", 0}, route{"r-2", host, "/wex4/", "gorsel", 0})
	}
	time.Sleep(3500 * time.Millisecond)
	s.request(1, "POST", host, path, job)
	time.Sleep(9 * time.Second)
	s.request(2, "GET", host, path, "")
	return s.ledger.twice(), nil
}
