package route

import "time"

const (
	// lostFactor is the multiple of the silence timeout after which an attempt
	// counts as lost.
	lostFactor = 4
	// minLostAge is the minimum age of a lost attempt.
	minLostAge = time.Second
)

// isLost reports whether an attempt will get no reply, for example because a
// device on the network path has dropped the connection's state: it has no
// reply after several times the silence timeout, while the service has answered
// an attempt that was started later.
//
// The second attempt after a lost one doesn't spend a token of the retry
// budget, which keeps retries from increasing the load. The additional load is
// bounded anyway: a lost attempt holds its slot until its deadline, so an
// executor can't lose more attempts than it has slots, and if the service
// answers no attempt at all, none counts as lost.
func (m *Machine) isLost(now time.Time, a *attempt) bool {
	s := a.execution.service
	age := now.Sub(a.started)
	silent := seconds(lostFactor * s.times.silenceTimeout(a.deadline.Sub(a.started).Seconds()))
	return age >= minLostAge && age >= silent && s.latestAnsweredStart.After(a.started)
}
