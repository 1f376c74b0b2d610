package main

import (
	"context"
	"time"
)

// Names of schedules of episodes.
const (
	// drawnSchedule has random episodes.
	drawnSchedule = "drawn"
	// recutSchedule and recutKillSchedule are the days in deploy/days of the same names.
	recutSchedule     = "recut"
	recutKillSchedule = "recut-kill"
)

const (
	// dayAway is how long the workers of a day's episode are away, and dayRecut and dayCut the time until their cut and how
	// long it lasts.
	dayAway, dayRecut, dayCut = 600 * time.Millisecond, 2 * time.Second, 9 * time.Second
	// dayHolderDelay is the time between the restarts and the end of the holder.
	dayHolderDelay = 2 * time.Second
)

// day is a schedule of fixed episodes, each of a half of the main pool.
type day struct {
	// restarts has when the workers restart, from the beginning of the faults on.
	restarts []time.Duration
	// killsHolder is true if the holder is killed after each restart.
	killsHolder bool
}

// days are the days by the name of their schedule.
var days = map[string]day{
	recutSchedule:     {restarts: []time.Duration{5 * time.Second, 19 * time.Second, 33 * time.Second}},
	recutKillSchedule: {restarts: []time.Duration{5 * time.Second, 25 * time.Second}, killsHolder: true},
}

// scheduleOf returns the name of the schedule of a seed: two in ten are days.
func scheduleOf(seed int64) string {
	switch seed % 10 {
	case 3:
		return recutSchedule
	case 6:
		return recutKillSchedule
	}
	return drawnSchedule
}

// runDay plays the episodes of a day until ctx is done.
func (r *restarter) runDay(ctx context.Context, d day) {
	start := time.Now()
	for _, at := range d.restarts {
		e := r.drawOf(d)
		select {
		case <-ctx.Done():
			return
		case <-time.After(time.Until(start.Add(at - e.lateTime))):
		}
		go e.run()
	}
}

// drawOf returns an episode of a day. The seed determines which calls are late, and how the cut shows.
func (r *restarter) drawOf(d day) *episode {
	e := r.drawEpisode(r.soak.firstHalf())
	for i := range e.away {
		e.away[i] = dayAway
	}
	e.awayMode, e.cutAfter, e.holders = modeDropAll, dayRecut, nil
	e.cut.mode, e.cut.duration = []mode{modeRefuse, modeDropAll}[r.rand.Intn(2)], dayCut
	if d.killsHolder {
		e.holders = []*holderFault{{soak: r.soak, kind: holderKilled, after: dayHolderDelay, program: r.soak.upgrade.anyProgram(r.rand)}}
	}
	return e
}
