package route

import (
	"fmt"
	"time"

	"endiveroute.example/endive"
)

// recordSuccess records an answered attempt and readmits an executor after
// enough successful probes.
func (m *Machine) recordSuccess(x *executor) {
	x.health.recordSuccess()
	if !x.health.ejected || x.health.probes < probesToReadmit {
		return
	}
	x.health.readmit()
	m.logDecision(endive.DecisionReadmit, string(x.id), string(x.service),
		fmt.Sprintf("%d successive probes succeeded", probesToReadmit))
}

// recordFailure records a failed attempt and ejects an executor whose failure
// rate is too high.
func (m *Machine) recordFailure(now time.Time, x *executor, probe bool) {
	x.health.recordFailure()
	switch {
	case x.health.ejected:
		if probe {
			x.health.scheduleProbe(now, m.settings)
		}
		return
	case x.health.rate < m.settings.EjectRate || x.health.failures < failuresToEject:
		return
	case !m.mayEject(x):
		return
	}
	x.health.eject(now, m.settings)
	m.logDecision(endive.DecisionEject, string(x.id), string(x.service),
		fmt.Sprintf("failure rate %.2f after %d failures; first probe in %s", x.health.rate, x.health.failures,
			x.health.probeAt.Sub(now)))
}

// mayEject reports whether one more executor of the given executor's service
// may be unavailable.
func (m *Machine) mayEject(x *executor) bool {
	listed, unavailable := 0, 0
	for _, o := range m.services[x.service].executors {
		if o.leaving || o.drained || o.state == endive.MemberGone {
			continue
		}
		listed++
		if o.health.ejected || o.state != endive.MemberLive {
			unavailable++
		}
	}
	return float64(unavailable+1) <= m.settings.MaxEjected*float64(listed)
}

// probe sends a copy of the request that was just dispatched to an ejected
// executor whose probe is due, to check whether the executor works again.
// Non-idempotent requests are never copied.
func (m *Machine) probe(now time.Time, e *execution) {
	if e.nonIdempotent {
		return
	}
	for _, x := range e.service.executors {
		if !m.probeDue(now, x) || e.hasTried(x) || m.slots.Free(now, x.id) <= 0 || !e.service.retries.spend(1) {
			continue
		}
		x.health.probeAt = e.lastDeadline()
		m.dispatch(now, e, x, "probe of an ejected executor with a copy of the request")
		return
	}
}

// probeDue reports whether the executor is ejected and its next probe is due.
func (m *Machine) probeDue(now time.Time, x *executor) bool {
	return x.health.ejected && !x.leaving && !x.drained && x.state == endive.MemberLive && x.busy == 0 &&
		x.distance != endive.OtherRegion && !x.health.probeAt.After(now)
}
