package ticket

import "time"

// ReadyUntil returns until when the entry may serve clients, or zero if it may not.
// The time moves on whenever the table or a peer shows that the configuration is
// current. Ready reports the same for one point in time.
func (m *Machine) ReadyUntil() time.Time {
	if !m.known.complete || m.registration.stopping {
		return time.Time{}
	}
	return m.registration.validUntil
}
