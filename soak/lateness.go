package main

import (
	"context"
	"math/rand"
	"time"
)

const (
	// maxLatenessPause is the longest time between the beginnings of two latenesses, and maxLatenessTime the longest time that one
	// lasts.
	maxLatenessPause, maxLatenessTime = 6 * time.Second, 4 * time.Second
)

// lateness is a time during which a share of the calls to some workers get no answer, and are carried out seconds later.
type lateness struct {
	workers  []*worker
	share    float64
	duration time.Duration
}

func (l *lateness) run() {
	l.addShare(l.share)
	time.Sleep(l.duration)
	l.addShare(-l.share)
}

func (l *lateness) addShare(share float64) {
	for _, w := range l.workers {
		w.calls.AddShare(share)
	}
}

// delayer makes calls to workers late, whether these restart or not.
type delayer struct {
	soak    *soak
	enabled bool
	rand    *rand.Rand
}

func newDelayer(s *soak, enabled bool, seed int64) *delayer {
	return &delayer{soak: s, enabled: enabled, rand: rand.New(rand.NewSource(seed + 5))}
}

// run begins latenesses until ctx is done. They may overlap each other, and those of the restarter.
func (d *delayer) run(ctx context.Context) {
	for d.enabled {
		select {
		case <-ctx.Done():
			return
		case <-time.After(randomDuration(d.rand, maxLatenessPause)):
		}
		late := d.draw()
		d.soak.checks.events.add("share %.2f of the calls to %s is late for %v", late.share, names(late.workers), late.duration)
		go late.run()
	}
}

// draw returns a random lateness, of a half of the main pool or of one worker.
func (d *delayer) draw() *lateness {
	return &lateness{workers: d.soak.drawWorkers(d.rand), share: d.rand.Float64(), duration: randomDuration(d.rand, maxLatenessTime)}
}
