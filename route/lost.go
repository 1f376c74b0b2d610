package route

import "time"

const (
	// lostFactor is how many times the age of a silent attempt an attempt has when
	// it counts as lost.
	lostFactor = 4
	// minLostAge is the least age of such an attempt.
	minLostAge = time.Second
)

// isLost reports whether an attempt has gone silent for good, as on a connection
// that something between the two ends has forgotten: it has no reply after
// several times what one takes, while the service has answered an attempt that
// was started later.
//
// The second try of a isLost attempt isn't paid for by the retry budget, which
// exists to keep load from growing. What it adds is bounded without one: a isLost
// attempt holds its slot until its deadline, so an executor loses no more
// attempts than it has slots, and where nothing is answered nothing is isLost.
func (m *Machine) isLost(now time.Time, a *attempt) bool {
	s := a.execution.service
	age := now.Sub(a.started)
	silent := seconds(lostFactor * s.times.silenceTimeout(a.deadline.Sub(a.started).Seconds()))
	return age >= minLostAge && age >= silent && s.latestAnsweredStart.After(a.started)
}
