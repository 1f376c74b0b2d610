package main

import (
	"fmt"
	"strings"
	"sync"
	"time"
)

func init() { cases["1"] = playManyRoutes }

const (
	// addedRoutes is the number of routes by which a configuration grows.
	addedRoutes = 350
	// firstJobPause is the time between two jobs that are handed in, each on a route of its own.
	firstJobPause = 40 * time.Millisecond
	// usualPause is the time between two jobs of the usual traffic, and usualWidth the number of their
	// tasks.
	usualPause = 90 * time.Millisecond
	usualWidth = 6
	// maxAsked is the number of these jobs whose state is asked for.
	maxAsked = 40
)

// playManyRoutes lets the configuration grow by many routes, each of which gets one small job, and later
// replaces these routes by others. At the end the holder's process is killed.
func playManyRoutes(s *scene) ([]string, error) {
	s.ledger.quiet = func(task string) bool { return !strings.HasPrefix(task, "bb") || !strings.HasSuffix(task, "0.0.0") }
	services := []string{"porsiyon"}
	usual := []route{{"r-1", host, "/lohu930/", "porsiyon", 0}}
	for i := range 8 {
		usual = append(usual, route{fmt.Sprintf("r-idle%d", i), host, fmt.Sprintf("/idle%d/", i), "porsiyon", 1})
	}
	s.configure(3, services, usual...)
	err := s.begin(3,
		workerSpec{"i-p1", "porsiyon", "marmara-a", 32000, 65536, []string{"a", "r1-1"}},
		workerSpec{"i-p2", "porsiyon", "marmara-a", 32000, 65536, []string{"a", "r1-1"}},
		workerSpec{"i-p3", "porsiyon", "marmara-a", 32000, 65536, []string{"a", "r1-1"}},
	)
	if err != nil {
		return nil, err
	}
	generations := [][]route{routesOf("sube", addedRoutes), routesOf("mutfak", addedRoutes)}
	for i, generation := range generations {
		if s.trouble {
			s.configureQuietly(8+4*i, services, append(append([]route{}, usual...), generation...), fmt.Sprintf("%d routes more", len(generation)))
		}
		time.Sleep(3500 * time.Millisecond)
		s.submitOnEach(i, generation, usual)
	}
	ids := s.submitUsual(s.log.start.Add(82 * time.Second))
	time.Sleep(4 * time.Second)
	asked := ids[max(0, len(ids)-maxAsked):]
	s.log.add("%d of the last %d accepted jobs of the usual traffic aren't shown as completed", s.countUnfinished(asked), len(asked))
	if holder := s.holder(); holder != nil {
		holder.kill()
		s.log.add("%s, which holds the pool, is killed", holder.name)
		if err := holder.start(); err != nil {
			return nil, err
		}
	}
	time.Sleep(12 * time.Second)
	s.log.add("after the kill %d aren't", s.countUnfinished(asked))
	return s.shortened(s.ledger.twice()), nil
}

// routesOf returns routes with names of their own.
func routesOf(name string, count int) []route {
	var routes []route
	for i := range count {
		routes = append(routes, route{fmt.Sprintf("r-%s-%03d", name, i), host, fmt.Sprintf("/%s%03d/", name, i), "porsiyon", 1})
	}
	return routes
}

// configureQuietly writes a configuration without listing its routes in the record.
func (s *scene) configureQuietly(version int, services []string, routes []route, note string) {
	s.log.silent(func() { s.configure(version, services, routes...) })
	s.log.add("operator: version %d is acknowledged: %s, %d in all", version, note, len(routes))
}

// submitOnEach hands in one small job on each route; without the trouble, on the usual ones in turn.
func (s *scene) submitOnEach(generation int, routes, usual []route) {
	accepted := 0
	for i, r := range routes {
		if !s.trouble {
			r = usual[i%len(usual)]
		}
		var status int
		id := fmt.Sprintf("aa%02x7a21d94b%04x", generation, i)
		s.log.silent(func() { status, _ = s.request(i, "POST", host, r.prefix+id, jobOf(1, 1000, 200)) })
		if status == 200 {
			accepted++
		}
		time.Sleep(firstJobPause)
	}
	s.log.add("clients: handed in one job on each of %d routes, %d accepted; %d transactions refused since a row was too large", len(routes), accepted, s.store.refused())
}

// submitUsual hands in jobs on the usual queue until a time, and returns those that were accepted.
func (s *scene) submitUsual(until time.Time) []string {
	var ids []string
	for job := 0; time.Now().Before(until); job++ {
		id := fmt.Sprintf("bb0e7a21d94b%04x", job)
		var status int
		s.log.silent(func() { status, _ = s.request(job, "POST", host, "/lohu930/"+id, jobOf(usualWidth, 1000, 400)) })
		if status == 200 {
			ids = append(ids, id)
		}
		if job%50 == 49 {
			starts, tasks := s.ledger.totals()
			s.log.add("so far: %d starts of %d tasks; %d transactions refused since a row was too large", starts, tasks, s.store.refused())
		}
		time.Sleep(usualPause)
	}
	return ids
}

// holder returns the entry that holds the pool according to the store.
func (s *scene) holder() *entryProcess {
	s.store.mu.Lock()
	value := string(s.store.rows[rowID{"lease", "porsiyon", "holder"}].Value)
	s.store.mu.Unlock()
	for _, e := range s.entries {
		if strings.Contains(value, `"`+e.name+`"`) {
			return e
		}
	}
	return nil
}

var silence sync.Mutex

// silent runs a function whose lines aren't recorded.
func (r *record) silent(run func()) {
	silence.Lock()
	defer silence.Unlock()
	r.quiet.Store(true)
	defer r.quiet.Store(false)
	run()
}
