package main

import (
	"fmt"
	"os"
	"strings"
	"time"
)

func init() { cases["3"] = playLongSchedule }

const (
	scheduledID    = "5c0e7a21d94b36f8"
	scheduledTimes = 6000
	schedulePeriod = 15 * time.Millisecond
)

// playLongSchedule hands in a job that runs many times, and small jobs beside it.
func playLongSchedule(s *scene) ([]string, error) {
	s.ledger.quiet = func(string) bool { return true }
	services := []string{"porsiyon"}
	s.configure(3, services, route{"r-1", host, "/lohu930/", "porsiyon", 0}, route{"r-2", host, "/wex4/", "porsiyon", 1})
	err := s.begin(3,
		workerSpec{"i-p1", "porsiyon", "marmara-a", 32000, 65536, []string{"a", "r1-1"}},
		workerSpec{"i-p2", "porsiyon", "marmara-a", 32000, 65536, []string{"a", "r1-1"}},
		workerSpec{"i-p3", "porsiyon", "marmara-a", 32000, 65536, []string{"a", "r1-1"}},
	)
	if err != nil {
		return nil, err
	}
	times := scheduledTimes
	if !s.trouble {
		times = 200
	}
	body := fmt.Sprintf(`{"task_spec":"{\"ms\":100}","steps":[{"count":1,"cpu":1000,"mem_mb":256,"estimate_ms":100}],"times":%d,"first_ms":%d,"period_ms":%d}`,
		times, time.Now().Add(time.Second).UnixMilli(), schedulePeriod.Milliseconds())
	if status, _ := s.request(0, "POST", host, "/wex4/"+scheduledID, body); status != 200 {
		return nil, fmt.Errorf("the scheduled job wasn't accepted")
	}
	end := s.log.start.Add(95 * time.Second)
	job := 0
	var ids []string
	for time.Now().Before(end) {
		id := fmt.Sprintf("aa0e7a21d94b%04x", job)
		if status, _ := s.request(job, "POST", host, "/lohu930/"+id, jobOf(2, 2000, 400)); status == 200 {
			ids = append(ids, id)
		}
		job++
		if job%10 == 0 {
			s.ledger.mu.Lock()
			s.log.add("so far: %d starts in all, %d tasks; %d transactions refused since a row was too large", s.ledger.starts, len(s.ledger.tasks), s.store.refusedLarge)
			s.ledger.mu.Unlock()
		}
		time.Sleep(700 * time.Millisecond)
	}
	time.Sleep(5 * time.Second)
	stuck := 0
	for i, id := range ids {
		if _, answer := s.request(i, "GET", host, "/lohu930/"+id, ""); !strings.Contains(answer, "completed") {
			stuck++
		}
	}
	s.log.add("%d of %d small jobs aren't shown as completed", stuck, len(ids))
	s.request(0, "DELETE", host, "/wex4/"+scheduledID, "")
	time.Sleep(5 * time.Second)
	again := 0
	for i, id := range ids {
		if _, answer := s.request(i, "GET", host, "/lohu930/"+id, ""); !strings.Contains(answer, "completed") {
			again++
		}
	}
	s.log.add("after the cancel %d aren't", again)
	breaches := s.ledger.twice()
	if len(breaches) > 10 {
		s.log.add("%d breaches", len(breaches))
		breaches = breaches[:10]
	}
	_ = os.Stdout
	return breaches, nil
}
