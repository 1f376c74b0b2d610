package flow

import (
	"math"
	"time"

	"endiveroute.example/endive"
)

// How long work takes decides what can still be on time, what runs will soon give back
// and which gang can wait. The load: callers' estimates that are off by a factor of two or
// more either way, while the steps of one queue differ less than that among themselves.
// So what has ended in a queue tells how far an estimate is to be believed there.

// Forecast relates, for one queue, the logarithms of estimates and of the times that tasks
// really took: a linear regression that forgets old steps. The zero value believes
// estimates. It is part of a row, so that it outlasts the holder that learned it.
type Forecast struct {
	// Weight is the weight of the steps that were seen.
	Weight float64 `json:"steps"`
	// SumEstimates and SumTimes are the sums of the logarithms, SumSquares and
	// SumProducts those of the squared estimates and of the products.
	SumEstimates float64 `json:"estimates"`
	SumTimes     float64 `json:"times"`
	SumSquares   float64 `json:"squares"`
	SumProducts  float64 `json:"products"`
}

const (
	// forecastMemory is over how many steps a Forecast averages.
	forecastMemory = 200
	// forecastPriorWeight is how many steps have to be seen until they count as much as the
	// estimate itself.
	forecastPriorWeight = 4
	// slopePriorWeight is the weight of the belief that times go with estimates, in steps
	// whose estimates differ by a factor of e.
	slopePriorWeight = 2
)

// add takes in how long the tasks of a step took.
func (f *Forecast) add(estimate endive.Interval, actual time.Duration) {
	if estimate <= 0 || actual <= 0 {
		return
	}
	e, t := math.Log(time.Duration(estimate).Seconds()), math.Log(actual.Seconds())
	const decay = 1 - 1.0/forecastMemory
	f.Weight = f.Weight*decay + 1
	f.SumEstimates = f.SumEstimates*decay + e
	f.SumTimes = f.SumTimes*decay + t
	f.SumSquares = f.SumSquares*decay + e*e
	f.SumProducts = f.SumProducts*decay + e*t
}

// predict returns how long a task with an estimate probably takes.
func (f *Forecast) predict(estimate endive.Interval) time.Duration {
	if f == nil || estimate <= 0 || f.Weight <= 0 {
		return time.Duration(estimate)
	}
	e := math.Log(time.Duration(estimate).Seconds())
	meanE, meanT := f.SumEstimates/f.Weight, f.SumTimes/f.Weight
	spread := f.SumSquares - f.Weight*meanE*meanE
	slope := (f.SumProducts - f.Weight*meanE*meanT + slopePriorWeight) / (spread + slopePriorWeight)
	regressed := meanT + slope*(e-meanE)
	weight := f.Weight / (f.Weight + forecastPriorWeight)
	return time.Duration(math.Exp(weight*regressed+(1-weight)*e) * float64(time.Second))
}

// forecast returns what was learned of a queue; nil for nothing.
func (m *Machine) forecast(queue endive.QueueName) *Forecast { return m.forecasts[queue] }

// mergeForecasts takes over what earlier holders have learned, where that is more.
func (m *Machine) mergeForecasts(learned map[endive.QueueName]*Forecast) {
	for queue, forecast := range learned {
		if own := m.forecasts[queue]; forecast != nil && (own == nil || own.Weight < forecast.Weight) {
			copied := *forecast
			m.forecasts[queue] = &copied
		}
	}
}

// copyForecasts returns what was learned so far.
func (m *Machine) copyForecasts() map[endive.QueueName]*Forecast {
	learned := make(map[endive.QueueName]*Forecast, len(m.forecasts))
	for queue, forecast := range m.forecasts {
		copied := *forecast
		learned[queue] = &copied
	}
	return learned
}

// recordStepTimes takes in the times of a step whose tasks have all ended well.
func (m *Machine) recordStepTimes(s *step) {
	if s.succeededRuns == 0 {
		return
	}
	queue := s.occ.job.policy.Name
	if m.forecasts[queue] == nil {
		m.forecasts[queue] = &Forecast{}
	}
	m.forecasts[queue].add(s.spec.Estimate, time.Duration(s.succeededTime)/time.Duration(s.succeededRuns))
}

// expectedDuration returns how long a task of a step probably takes: by what others of its tasks
// show, or else by its estimate and what was learned of its queue.
func (m *Machine) expectedDuration(s *step) time.Duration {
	if s.pace > 0 {
		return time.Duration(s.pace)
	}
	return m.forecast(s.occ.job.policy.Name).predict(s.spec.Estimate)
}

// minRemainingShare is which part of what a run should take is left at least of one that has
// taken longer already.
const minRemainingShare = 0.2

// runRemaining returns how much longer a run will probably take.
func (m *Machine) runRemaining(r *run) time.Duration {
	if r.percent-r.firstPercent >= minPaceProgress {
		projected := r.percentAt.Sub(r.startedAt) * fullPercent / time.Duration(r.percent-r.firstPercent)
		return max(0, projected*time.Duration(fullPercent-r.percent)/fullPercent-m.now.Sub(r.percentAt))
	}
	expected := m.expectedDuration(r.task.step) * time.Duration(fullPercent-r.firstPercent) / fullPercent
	return max(expected-m.now.Sub(r.startedAt), time.Duration(minRemainingShare*float64(expected)))
}

// stepRemaining returns how much longer a step will probably take once it can run.
func (m *Machine) stepRemaining(s *step) time.Duration {
	if s.unfinished == 0 {
		return 0
	}
	if s.waiting > 0 {
		return m.expectedDuration(s)
	}
	longest := time.Duration(0)
	for _, t := range s.tasks {
		if t.run != nil && t.state == taskPlaced {
			longest = max(longest, m.runRemaining(t.run))
		}
	}
	return longest
}
