package flow

import (
	"sort"
	"testing"
	"time"

	"github.com/matryer/is"
)

// In a backlog as after a takeover, with late urgent workflows next to batch workflows that
// have slack, the urgent workflows must come first, the late ones after those on time, and
// workflows that are too late must come last. Only interrupted long-running work goes before.
func TestBacklogOrder(t *testing.T) {
	is := is.New(t)
	at := time.Unix(1_800_000_000, 0)
	const urgent, batch = preemptRank, 2
	want := []rank{
		{tier: tierOnTime, queue: batch, objective: at, interrupted: true},
		{tier: tierOnTime, queue: urgent, objective: at},
		{tier: tierOnTime, queue: urgent, objective: at.Add(time.Second)},
		{tier: tierLate, queue: urgent, objective: at.Add(-time.Second)},
		{tier: tierOnTime, queue: 1, objective: at.Add(time.Minute)},
		{tier: tierOnTime, queue: batch, objective: at.Add(time.Second)},
		{tier: tierLate, queue: batch, objective: at.Add(-time.Second)},
		{tier: tierOnTime, queue: urgent, objective: at, beyondShare: true},
		{tier: tierTooLate, queue: urgent, objective: at.Add(-time.Hour)},
		{tier: tierTooLate, queue: batch, objective: at.Add(-time.Minute)},
	}
	got := append([]rank(nil), want...)
	for i, j := 0, len(got)-1; i < j; i, j = i+1, j-1 {
		got[i], got[j] = got[j], got[i]
	}
	sort.Slice(got, func(a, b int) bool { return got[a].less(got[b]) })
	is.Equal(got, want)
}
