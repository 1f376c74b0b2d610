package main

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

func init() { cases["2"] = playLongSchedule }

const (
	scheduledID = "5c0e7a21d94b36f8"
	// schedulePeriod is short, so that the script sees in 40 s what a job that is due each minute
	// shows after a day and a quarter.
	schedulePeriod = 15 * time.Millisecond
	// longTimes is the number of times of the job; shortTimes that without the trouble, at the same
	// pace.
	longTimes  = 6000
	shortTimes = 1500
	// smallPeriod is the time between two small jobs of another client.
	smallPeriod = 700 * time.Millisecond
)

// playLongSchedule hands in a job that runs many times, and small jobs of another queue beside it.
func playLongSchedule(s *scene) ([]string, error) {
	s.ledger.quiet = func(task string) bool { return !strings.HasPrefix(task, "aa") }
	s.configure(3, []string{"porsiyon"}, route{"r-1", host, "/lohu930/", "porsiyon", 0}, route{"r-2", host, "/wex4/", "porsiyon", 1})
	err := s.begin(3,
		workerSpec{"i-p1", "porsiyon", "marmara-a", 32000, 65536, []string{"a", "r1-1"}},
		workerSpec{"i-p2", "porsiyon", "marmara-a", 32000, 65536, []string{"a", "r1-1"}},
		workerSpec{"i-p3", "porsiyon", "marmara-a", 32000, 65536, []string{"a", "r1-1"}},
	)
	if err != nil {
		return nil, err
	}
	times := longTimes
	if !s.trouble {
		times = shortTimes
	}
	body := fmt.Sprintf(`{"task_spec":"{\"ms\":100}","steps":[{"count":1,"cpu":1000,"mem_mb":256,"estimate_ms":100}],"times":%d,"first_ms":%d,"period_ms":%d}`,
		times, time.Now().Add(time.Second).UnixMilli(), schedulePeriod.Milliseconds())
	if status, _ := s.request(0, "POST", host, "/wex4/"+scheduledID, body); status != 200 {
		return nil, fmt.Errorf("the scheduled job wasn't accepted")
	}
	ids := s.submitSmallJobs(s.log.start.Add(75 * time.Second))
	time.Sleep(6 * time.Second)
	s.log.add("%d of %d accepted small jobs aren't shown as completed", s.countUnfinished(ids), len(ids))
	if s.trouble {
		// The client cancels the scheduled job. What has waited is recorded now.
		s.request(0, "DELETE", host, "/wex4/"+scheduledID, "")
		time.Sleep(6 * time.Second)
		s.log.add("after the cancel %d aren't", s.countUnfinished(ids))
	}
	return s.shortened(s.ledger.twice()), nil
}

// submitSmallJobs hands in small jobs until a time, and returns those that were accepted.
func (s *scene) submitSmallJobs(until time.Time) []string {
	var ids []string
	for job := 0; time.Now().Before(until); job++ {
		id := fmt.Sprintf("aa0e7a21d94b%04x", job)
		if status, _ := s.request(job, "POST", host, "/lohu930/"+id, jobOf(2, 2000, 400)); status == 200 {
			ids = append(ids, id)
		}
		if job%10 == 9 {
			starts, tasks := s.ledger.totals()
			s.log.add("so far: %d starts of %d tasks; %d transactions refused since a row was too large", starts, tasks, s.store.refused())
		}
		time.Sleep(smallPeriod)
	}
	return ids
}

// maxListed is the number of jobs up to which the answers about each are recorded.
const maxListed = 100

// countUnfinished returns how many of the jobs aren't shown as completed.
func (s *scene) countUnfinished(ids []string) int {
	count := 0
	if len(ids) > maxListed {
		s.log.quiet.Store(true)
		defer s.log.quiet.Store(false)
	}
	for i, id := range ids {
		if _, answer := s.request(i, "GET", host, "/lohu930/"+id, ""); !strings.Contains(answer, "completed") {
			count++
		}
	}
	return count
}

// maxReported is the number of breaches that are reported one by one.
const maxReported = 12

// shortened returns the first breaches, those of the small jobs before the others, and their number.
func (s *scene) shortened(breaches []string) []string {
	sort.Slice(breaches, func(i, j int) bool { return breaches[i] > breaches[j] })
	if len(breaches) <= maxReported {
		return breaches
	}
	return append(breaches[:maxReported:maxReported], fmt.Sprintf("and %d tasks more", len(breaches)-maxReported))
}
