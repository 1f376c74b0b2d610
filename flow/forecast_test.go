package flow

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

func TestForecastLearns(t *testing.T) {
	tests := []struct {
		name string
		// pairs are estimates and the actual run times, in seconds.
		pairs    [][2]float64
		estimate float64
		min, max float64
	}{
		{"without steps, the estimate is predicted", nil, 3, 3, 3},
		{"unrelated estimates, the mean run time counts more",
			[][2]float64{{0.5, 2}, {1, 2}, {4, 2}, {8, 2}, {1, 2}, {4, 2}, {0.5, 2}, {8, 2}}, 16, 2, 7},
		{"correct estimates are predicted unchanged",
			[][2]float64{{1, 1}, {2, 2}, {4, 4}, {8, 8}, {1, 1}, {2, 2}, {4, 4}, {8, 8}}, 4, 3.9, 4.1},
		{"run times of twice the estimate are learned",
			[][2]float64{{1, 2}, {2, 4}, {4, 8}, {8, 16}, {1, 2}, {2, 4}, {4, 8}, {8, 16}}, 4, 6, 8.1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			var f Forecast
			for _, pair := range tt.pairs {
				f.add(endive.Interval(pair[0]*float64(time.Second)), time.Duration(pair[1]*float64(time.Second)))
			}
			got := f.predict(endive.Interval(tt.estimate * float64(time.Second))).Seconds()
			t.Logf("predicted %.2f s", got)
			is.True(got >= tt.min-1e-6)
			is.True(got <= tt.max+1e-6)
		})
	}
}

// With more work than the pool has capacity for, and estimates that are far too low or far too
// high, the scheduler must not treat work with a low estimate as too late early, nor delay
// work that is on time for work that only seems to be urgent.
func TestRoughEstimatesUnderLoad(t *testing.T) {
	is := is.New(t)
	const (
		taskDuration      = 2 * time.Second
		estimateError     = 0.9
		submitInterval    = 290 * time.Millisecond
		testDuration      = 40 * time.Second
		processorsPerTask = 8000
		// minOnTimeShare is slightly below the share for which the pool has capacity.
		minOnTimeShare = 0.85
	)
	// The objective allows a workflow to wait for twice its run time.
	policy := endive.Queue{Name: "rough", Pool: testPool, Rank: 1, MaxAttempts: 3, SlackFactor: 3}
	w, _ := newSimulationWithHolder(t, faults{}, 6)
	deadlines := make(map[endive.JobID]time.Time)
	onTime := 0
	for i := 0; w.now.Sub(w.start) < testDuration; i++ {
		durationFactor := math.Exp(estimateError * w.random.NormFloat64())
		step := stepOfTasks(2, time.Duration(float64(taskDuration)/durationFactor))
		step.Need.Processors = processorsPerTask
		id := w.submit(fmt.Sprintf("job%d", i), policy, step)
		w.jobs[id].durationFactor = durationFactor
		deadlines[id] = w.now.Add(3 * taskDuration)
		w.run(w.now.Add(submitInterval).Sub(w.start))
		for id, at := range deadlines {
			if !w.now.After(at) && w.state(id) == endive.WorkflowSucceeded {
				onTime++
				delete(deadlines, id)
			}
		}
	}
	late := 0
	for _, at := range deadlines {
		if w.now.After(at) {
			late++
		}
	}
	w.checkViolations()
	share := float64(onTime) / float64(onTime+late)
	t.Logf("%d on time, %d late, share on time %.2f", onTime, late, share)
	is.True(share >= minOnTimeShare)
}
