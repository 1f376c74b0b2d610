package ticket

import "time"

// ReadyUntil returns until when the entry may answer callers, unless the
// configuration is proved anew before; zero if it may not. Ready reports the
// same for one moment.
func (m *Machine) ReadyUntil() time.Time {
	if !m.known.complete || m.registration.stopping {
		return time.Time{}
	}
	return m.registration.validUntil
}
