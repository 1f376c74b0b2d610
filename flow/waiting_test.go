package flow

import (
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// Work that waits behind other work had no line in the log that gave the reason.
func TestLongWaitIsLogged(t *testing.T) {
	is := is.New(t)
	w, h := newSimulationWithHolder(t, faults{}, 1)
	full := stepOfTasks(1, 20*time.Second)
	full.Need.Processors = 16000
	w.submit("first", urgentQueue, full)
	w.run(1100 * time.Millisecond)
	id := w.submit("second", urgentQueue, full)
	w.run(10 * time.Second)
	var lines []string
	for _, d := range h.jobDecisions {
		if d.Job == id && d.Outcome == "waits" {
			lines = append(lines, d.Reason)
		}
	}
	is.Equal(len(lines), 2) // after 2 and 6 seconds
	is.True(strings.HasPrefix(lines[0], string(waitsForCapacity)))
}

// The lines about waiting steps must stay bounded in a backlog.
func TestWaitLinesAreLimited(t *testing.T) {
	is := is.New(t)
	var log waitLog
	now := time.Unix(0, 0)
	m := &Machine{now: now}
	log.beginPass(now)
	m.waitLog = log
	for range 100 {
		s := &step{occ: &occurrence{job: &job{}}, spec: &endive.Step{}}
		m.waits(s, 1, waitsForCapacity)
		s.waitLoggedAt = now.Add(-waitLogPeriod)
		m.waits(s, 1, waitsForCapacity)
	}
	is.Equal(len(m.actions), maxWaitLines)
}
