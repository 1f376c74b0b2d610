package main

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

func TestSeedsHaveAllSchedules(t *testing.T) {
	is := is.New(t)
	count := make(map[string]int)
	for seed := range int64(50) {
		count[scheduleOf(seed)]++
	}
	is.Equal(count, map[string]int{drawnSchedule: 40, recutSchedule: 5, recutKillSchedule: 5})
	is.Equal(scheduleOf(1), drawnSchedule) // the seed of CI, which is shorter than a day
}

// The times are those in deploy/days.
func TestEpisodesOfDays(t *testing.T) {
	for _, tt := range []struct {
		name     string
		restarts []time.Duration
		killed   int
	}{
		{"recut", []time.Duration{5 * time.Second, 19 * time.Second, 33 * time.Second}, 0},
		{"recut-kill", []time.Duration{5 * time.Second, 25 * time.Second}, 1},
	} {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			r := newTestRestarter(true, 1)
			d := days[tt.name]
			is.Equal(d.restarts, tt.restarts)
			for range 100 {
				e := r.drawOf(d)
				is.Equal(len(e.workers), 2) // a half of the main pool
				is.Equal(e.away, []time.Duration{600 * time.Millisecond, 600 * time.Millisecond})
				is.Equal(e.awayMode, modeDropAll)
				is.Equal(e.cutAfter+e.away[0], 2600*time.Millisecond)
				is.Equal(e.cut.duration, 9*time.Second)
				is.True(e.cut.mode == modeRefuse || e.cut.mode == modeDropAll)
				is.Equal(len(e.holders), tt.killed)
				for _, fault := range e.holders {
					is.Equal(fault.kind, holderKilled)
					is.Equal(fault.after, 2*time.Second)
				}
			}
		})
	}
}
