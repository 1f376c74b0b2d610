package route

import "time"

const (
	// failureWeight is the weight of a new attempt in the failure rate.
	failureWeight = 0.3
	// failuresToEject is the minimum number of failures since the last
	// readmission before an executor is ejected.
	failuresToEject = 3
	// maxEjectDoublings limits how often the length of an ejection doubles.
	maxEjectDoublings = 5
	// readmittedRate is the initial failure rate of a readmitted executor.
	readmittedRate = 0.25
	// probesToReadmit is the number of successive probes that must succeed.
	probesToReadmit = 2
)

// health tracks the failures of one executor.
type health struct {
	// rate is the exponentially weighted share of failed attempts.
	rate     float64
	failures int
	ejected  bool
	// ejections is the number of successive ejections; each lasts longer than
	// the one before.
	ejections int
	// probeAt is the time of an ejected executor's next probe.
	probeAt time.Time
	probes  int
	// limit is the maximum number of concurrent attempts after a readmission; 0
	// means no limit. It doubles with each success.
	limit int
}

// recordSuccess records an answered attempt.
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

// recordFailure records a failed attempt.
func (h *health) recordFailure() {
	h.rate += failureWeight * (1 - h.rate)
	h.failures++
	h.probes = 0
}

// eject takes the executor out of use until probes succeed.
func (h *health) eject(now time.Time, settings Settings) {
	h.ejected = true
	h.probes = 0
	h.scheduleProbe(now, settings)
}

// scheduleProbe sets the time of the next probe. The delay doubles each time,
// up to maxEjectDoublings times.
func (h *health) scheduleProbe(now time.Time, settings Settings) {
	length := time.Duration(settings.EjectFor) << min(h.ejections, maxEjectDoublings)
	h.probeAt = now.Add(length)
	h.ejections++
}

// readmit takes the executor back into use with one concurrent attempt.
func (h *health) readmit() {
	h.ejected = false
	h.failures = 0
	h.rate = readmittedRate
	h.limit = 1
}
