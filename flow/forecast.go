package flow

import (
	"math"
	"time"

	"endiveroute.example/endive"
)

// The expected run time of a task decides which workflows can still meet their objective,
// how much capacity runs will free soon, and which gangs can wait. Clients' estimates are
// wrong by a factor of two or more in either direction, but the steps of one queue differ
// less than that among themselves. The steps that have ended in a queue therefore show
// how reliable its estimates are.

// Forecast predicts the run times of the tasks of one queue. It is a linear regression of
// the logarithm of the run time on the logarithm of the estimate in which the weight of
// old steps decays. The zero value predicts the estimate itself. It is stored in a row so
// that it survives a change of holder.
type Forecast struct {
	// Weight is the total weight of the steps that were added.
	Weight float64 `json:"steps"`
	// SumEstimates and SumTimes are the weighted sums of the logarithms of estimates and
	// run times, SumSquares the sum of the squared logarithms of the estimates, and
	// SumProducts the sum of the products of both logarithms.
	SumEstimates float64 `json:"estimates"`
	SumTimes     float64 `json:"times"`
	SumSquares   float64 `json:"squares"`
	SumProducts  float64 `json:"products"`
	// usedAt is when a step was last added, or when the forecast was adopted.
	usedAt time.Time
}

const (
	// forecastMemory is the number of steps over which a Forecast averages.
	forecastMemory = 200
	// forecastPriorWeight is the number of steps after which the regression counts as much
	// as the estimate itself.
	forecastPriorWeight = 4
	// maxForecasts is the number of queues of which a holder keeps forecasts. Queues come and go with
	// the configuration, so their number over time has no limit.
	maxForecasts = 200
	// slopePriorWeight is the weight of the prior assumption that run times are
	// proportional to estimates, in steps whose estimates differ by a factor of e.
	slopePriorWeight = 2
)

// add adds the mean run time of a step's tasks to the regression.
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

// predict returns the expected run time of a task with the given estimate.
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

// forecast returns the forecast of a queue, or nil if there is none.
func (m *Machine) forecast(queue endive.QueueName) *Forecast { return m.forecasts[queue] }

// mergeForecasts adopts the forecasts of earlier holders that have a higher weight than the
// machine's own.
func (m *Machine) mergeForecasts(learned map[endive.QueueName]*Forecast) {
	for queue, forecast := range learned {
		if own := m.forecasts[queue]; forecast != nil && (own == nil || own.Weight < forecast.Weight) {
			copied := *forecast
			copied.usedAt = m.now
			m.forecasts[queue] = &copied
		}
	}
	m.dropOldForecasts()
}

// dropOldForecasts deletes the forecasts that were used longest ago if there are more than maxForecasts.
func (m *Machine) dropOldForecasts() {
	if len(m.forecasts) <= maxForecasts {
		return
	}
	for _, queue := range forecastsByUse(m.forecasts)[maxForecasts:] {
		delete(m.forecasts, queue)
	}
}

// copyForecasts returns a deep copy of the forecasts.
func (m *Machine) copyForecasts() map[endive.QueueName]*Forecast {
	learned := make(map[endive.QueueName]*Forecast, len(m.forecasts))
	for queue, forecast := range m.forecasts {
		copied := *forecast
		learned[queue] = &copied
	}
	return learned
}

// recordStepTimes adds the run times of a step whose tasks have all succeeded to the speeds of the
// workers, and their mean to the forecast of its queue.
func (m *Machine) recordStepTimes(s *step) {
	if len(s.timedRuns) == 0 {
		return
	}
	if !s.spec.Gang {
		m.speeds.Record(s.timedRuns)
	}
	queue := s.occ.job.policy.Name
	if m.forecasts[queue] == nil {
		m.forecasts[queue] = &Forecast{}
	}
	m.forecasts[queue].usedAt = m.now
	m.forecasts[queue].add(s.spec.Estimate, meanDuration(s.timedRuns))
	m.dropOldForecasts()
	s.timedRuns = nil
}

// meanDuration returns the mean of the run times.
func meanDuration(runs []endive.TimedRun) time.Duration {
	total := time.Duration(0)
	for _, run := range runs {
		total += time.Duration(run.Duration)
	}
	return total / time.Duration(len(runs))
}

// expectedDuration returns the expected run time of a step's tasks: the pace of its other
// tasks if it is known, otherwise the prediction of the queue's forecast.
func (m *Machine) expectedDuration(s *step) time.Duration {
	if s.pace > 0 {
		return time.Duration(s.pace)
	}
	return m.forecast(s.occ.job.policy.Name).predict(s.spec.Estimate)
}

// minRemainingShare is the lower bound for the remaining time of a run, as a share of its
// expected run time. It applies to runs that take longer than expected.
const minRemainingShare = 0.2

// runRemaining returns the expected remaining time of a run.
func (m *Machine) runRemaining(r *run) time.Duration {
	if r.percent-r.firstPercent >= minPaceProgress {
		projected := r.percentAt.Sub(r.startedAt) * fullPercent / time.Duration(r.percent-r.firstPercent)
		return max(0, projected*time.Duration(fullPercent-r.percent)/fullPercent-m.now.Sub(r.percentAt))
	}
	expected := m.expectedDuration(r.task.step) * time.Duration(fullPercent-r.firstPercent) / fullPercent
	return max(expected-m.now.Sub(r.startedAt), time.Duration(minRemainingShare*float64(expected)))
}

// stepRemaining returns the expected remaining time of a step from when it can run.
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
