package main

import (
	"fmt"
	"time"
)

func init() { cases["pending"] = playMovedPending }

// playMovedPending fills a service, so that jobs of a queue wait, moves the queue to another service,
// and asks how many jobs wait.
func playMovedPending(s *scene) ([]string, error) {
	services := []string{"porsiyon", "gorsel"}
	s.configure(3, services, route{"r-1", host, "/lohu930/", "porsiyon", 0}, route{"r-2", host, "/wex4/", "gorsel", 0})
	err := s.begin(3,
		workerSpec{"i-p1", "porsiyon", "marmara-a", 32000, 65536, []string{"a", "r1-1"}},
		workerSpec{"i-p2", "porsiyon", "marmara-a", 32000, 65536, []string{"a", "r1-1"}},
		workerSpec{"i-g1", "gorsel", "marmara-a", 64000, 262144, []string{"a", "r2-1"}},
	)
	if err != nil {
		return nil, err
	}
	const jobs = 12
	for i := range jobs {
		path := fmt.Sprintf("/lohu930/5c0e7a21d94b%04x", i)
		if status, _ := s.request(i, "POST", host, path, jobOf(1, 30000, 60000)); status != 200 {
			return nil, fmt.Errorf("a job wasn't accepted")
		}
	}
	time.Sleep(6 * time.Second)
	if s.trouble {
		s.configure(8, services, route{"r-3", host, "/lohu930/", "gorsel", 0}, route{"r-2", host, "/wex4/", "gorsel", 0})
	}
	time.Sleep(6 * time.Second)
	var broken []string
	for i := range s.entries {
		waiting := 0
		for job := range jobs {
			if s.ledger.startsOf(fmt.Sprintf("5c0e7a21d94b%04x.0.0.0", job)) == 0 {
				waiting++
			}
		}
		status, answer := s.request(i, "GET", host, "/lohu930/", "")
		var pending int
		if _, err := fmt.Sscanf(answer, `{"pending":%d}`, &pending); status != 200 || err != nil {
			continue
		}
		if 2*pending < waiting {
			broken = append(broken, fmt.Sprintf("%s gives %d as pending; %d jobs were accepted over 12 s ago and haven't begun", s.entries[i].name, pending, waiting))
		}
	}
	return broken, nil
}
