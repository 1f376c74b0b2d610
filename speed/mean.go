package speed

import "endiveroute.example/endive"

// maxSamples is the number of samples from which on older ones count less, so that a change of
// speed shows.
const maxSamples = 200

// mean is the mean of recent samples.
type mean struct{ sum, count float64 }

func (m *mean) add(sample float64) {
	m.sum += sample
	m.count++
	if m.count > maxSamples {
		m.sum, m.count = m.sum/2, m.count/2
	}
}

// value returns the mean, where the prior counts like the given number of samples.
func (m *mean) value(prior, weight float64) float64 {
	return (m.sum + prior*weight) / (m.count + weight)
}

// minRuns is the number of tasks of a step from which on their run times are compared.
const minRuns = 3

// relativeTimes returns the run times relative to those that the given factors predict: a step
// whose tasks all ran on slow workers says nothing about these.
func relativeTimes(runs []endive.TimedRun, factor func(endive.FleetWorker) float64) []float64 {
	if len(runs) < minRuns {
		return nil
	}
	durations, factors := 0.0, 0.0
	for _, run := range runs {
		durations += float64(run.Duration)
		factors += factor(run.Worker)
	}
	if durations <= 0 {
		return nil
	}
	relative := make([]float64, len(runs))
	for i, run := range runs {
		relative[i] = float64(run.Duration) * factors / durations
	}
	return relative
}
