package main

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive/platform/stand"
)

// newTestDelayer returns the delayer of a soak with workers that count their late calls.
func newTestDelayer(enabled bool, seed int64) *delayer {
	s := newTestRestarter(true, seed).soak
	for _, w := range s.workers {
		w.calls = stand.NewLateCalls(seed)
	}
	return newDelayer(s, enabled, seed)
}

func TestLatenessesAreVaried(t *testing.T) {
	is := is.New(t)
	d := newTestDelayer(true, 1)
	sizes, shares := make(map[int]int), 0.0
	for range 1000 {
		late := d.draw()
		is.True(late.duration >= 0 && late.duration < maxLatenessTime)
		sizes[len(late.workers)]++
		shares += late.share
	}
	is.True(sizes[1] > 300)
	is.True(sizes[2] > 300) // a half of the main pool
	is.Equal(sizes[1]+sizes[2], 1000)
	is.True(shares > 400 && shares < 600)
}

func TestDelayerEndsWithTheFaults(t *testing.T) {
	for _, enabled := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
			defer cancel()
			start := time.Now()
			newTestDelayer(enabled, 1).run(ctx)
			is.New(t).Equal(time.Since(start) > 0, enabled)
			time.Sleep(maxLatenessTime)
		})
	}
}
