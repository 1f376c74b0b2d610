package route

import "time"

const (
	// failureWeight is the weight of a new attempt in the failure rate.
	failureWeight = 0.3
	// failuresToEject is the least number of failures since the last readmission
	// that ejects an executor.
	failuresToEject = 3
	// maxEjectDoublings bounds how often the length of an ejection doubles.
	maxEjectDoublings = 5
	// readmittedRate is the failure rate of an executor just readmitted.
	readmittedRate = 0.25
	// probesToReadmit is how many probes in a row must succeed.
	probesToReadmit = 2
)

// health is what an entry has learned of an executor's failures.
type health struct {
	// rate is the weighted share of failed attempts.
	rate     float64
	failures int
	ejected  bool
	// ejections counts those in a row, each of which lasts longer.
	ejections int
	// probeAt is when an ejected executor gets its next probe.
	probeAt time.Time
	probes  int
	// limit bounds the attempts at the same time after a readmission; 0 is no
	// bound. It doubles with each success.
	limit int
}

// recordSuccess learns from an answered attempt.
func (h *health) recordSuccess() {
	h.rate -= failureWeight * h.rate
	if h.ejected {
		h.probes++
		return
	}
	if h.limit > 0 {
		h.limit *= 2
	}
	if h.rate < failureWeight/10 {
		h.failures, h.ejections, h.limit = 0, 0, 0
	}
}

// recordFailure learns from a failed attempt.
func (h *health) recordFailure() {
	h.rate += failureWeight * (1 - h.rate)
	h.failures++
	h.probes = 0
}

// eject takes the executor out until probes succeed.
func (h *health) eject(now time.Time, settings Settings) {
	h.ejected = true
	h.probes = 0
	h.scheduleProbe(now, settings)
}

// scheduleProbe sets the time of the next probe, later each time.
func (h *health) scheduleProbe(now time.Time, settings Settings) {
	length := time.Duration(settings.EjectFor) << min(h.ejections, maxEjectDoublings)
	h.probeAt = now.Add(length)
	h.ejections++
}

// readmit brings the executor back with one attempt at a time.
func (h *health) readmit() {
	h.ejected = false
	h.failures = 0
	h.rate = readmittedRate
	h.limit = 1
}
