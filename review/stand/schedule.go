package main

import (
	"fmt"
	"slices"
	"sort"
	"strings"
	"time"
)

func init() { cases["2"] = playLongSchedule }

const (
	scheduledID = "5c0e7a21d94b36f8"
	// The job is due each minute of two days.
	schedulePeriod = time.Minute
	scheduledTimes = 2880
	// longAgo is how long before the job is handed in its first time is due; shortAgo that without the
	// trouble.
	longAgo  = 20 * time.Hour
	shortAgo = 2 * time.Hour
	// finishBound is finish_s, and idleBound how long a job may have nothing running then.
	finishBound = 14 * time.Second
	idleBound   = 3 * time.Second
)

// playLongSchedule hands in a job that runs many times, of which a part is due already, and usual jobs of
// another queue beside it.
func playLongSchedule(s *scene) ([]string, error) {
	s.ledger.quiet = func(task string) bool { return !strings.HasPrefix(task, "bb") }
	s.configure(3, []string{"porsiyon"}, route{"r-1", host, "/lohu930/", "porsiyon", 0}, route{"r-2", host, "/wex4/", "porsiyon", 1})
	err := s.begin(3,
		workerSpec{"i-p1", "porsiyon", "marmara-a", 32000, 65536, []string{"a", "r1-1"}},
		workerSpec{"i-p2", "porsiyon", "marmara-a", 32000, 65536, []string{"a", "r1-1"}},
		workerSpec{"i-p3", "porsiyon", "marmara-a", 32000, 65536, []string{"a", "r1-1"}},
	)
	if err != nil {
		return nil, err
	}
	ago := longAgo
	if !s.trouble {
		ago = shortAgo
	}
	steps := `{"count":1,"cpu":1000,"mem_mb":256,"estimate_ms":100},{"count":1,"cpu":1000,"mem_mb":256,"estimate_ms":100,"after":[0]},{"count":1,"cpu":1000,"mem_mb":256,"estimate_ms":100,"after":[1]}`
	body := fmt.Sprintf(`{"task_spec":"{\"ms\":100}","steps":[%s],"times":%d,"first_ms":%d,"period_ms":%d}`,
		steps, scheduledTimes, time.Now().Add(-ago).UnixMilli(), schedulePeriod.Milliseconds())
	if status, _ := s.request(0, "POST", host, "/wex4/"+scheduledID, body); status != 200 {
		return nil, fmt.Errorf("the scheduled job wasn't accepted")
	}
	s.log.add("clients: handed in a job that is due %d times, each minute, since %s ago", scheduledTimes, ago)
	time.Sleep(5 * time.Second)
	ids := s.submitUsual(s.log.start.Add(40 * time.Second))
	s.log.add("the traffic ends; %d jobs of the usual queue were accepted", len(ids))
	time.Sleep(finishBound)
	s.log.add("finish_s is over")
	idle := s.watchIdle(ids, time.Now().Add(20*time.Second))
	asked := ids[max(0, len(ids)-maxAsked):]
	s.log.add("%d of the last %d accepted jobs of the usual queue aren't shown as completed", s.countUnfinished(asked), len(asked))
	return s.shortened(idle), nil
}

// watchIdle watches the jobs until a time, and returns those that had nothing running for idleBound on end
// while a task's turn had come and under half of the capacity was in use. All tasks take one core.
func (s *scene) watchIdle(ids []string, until time.Time) []string {
	capacity := 0
	for _, w := range s.workers {
		capacity += int(w.cpu / 1000)
	}
	since := make(map[string]time.Time)
	longest := make(map[string]time.Duration)
	for time.Now().Before(until) {
		now := time.Now()
		active := s.ledger.activeTasks()
		for _, id := range ids {
			if s.ledger.jobDone(id, usualWidth) || 2*len(active) >= capacity || hasJob(active, id) {
				delete(since, id)
				continue
			}
			if since[id].IsZero() {
				since[id] = now
			}
			longest[id] = max(longest[id], now.Sub(since[id]))
		}
		time.Sleep(50 * time.Millisecond)
	}
	var idle []string
	for id, length := range longest {
		if length >= idleBound {
			idle = append(idle, fmt.Sprintf("job %s had nothing running for %.1f s on end after finish_s, with under half of the capacity in use", id, length.Seconds()))
		}
	}
	return idle
}

// hasJob reports whether one of the tasks belongs to a job.
func hasJob(tasks []string, id string) bool {
	return slices.ContainsFunc(tasks, func(task string) bool { return strings.HasPrefix(task, id+".") })
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

// shortened returns the first breaches, and how many more there are.
func (s *scene) shortened(breaches []string) []string {
	sort.Slice(breaches, func(i, j int) bool { return breaches[i] > breaches[j] })
	if len(breaches) <= maxReported {
		return breaches
	}
	return append(breaches[:maxReported:maxReported], fmt.Sprintf("and %d tasks more", len(breaches)-maxReported))
}
