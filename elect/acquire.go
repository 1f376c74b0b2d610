package elect

import (
	"time"

	"endiveroute.example/endive"
)

// acquire writes a new lease if the current one has expired or its holder has ended, after
// a pause in which preferred entries may acquire it.
func (m *Machine) acquire() {
	if m.releasing {
		return
	}
	// A lease of this process that it doesn't hold was either lost to a fence or written by
	// a request whose answer was lost. No other entry may acquire it before it expires.
	ownLease := m.lease.Incarnation == m.incarnation
	// A wrong suspicion is safe: the new epoch fences off the old holder.
	suspected := m.suspectedIncarnation != "" && m.suspectedIncarnation == m.lease.Incarnation
	// A lease of an earlier process of this entry is free too, because that process has
	// ended. After a restart of all entries, no other entry can detect this before the
	// lease expires.
	earlierProcess := m.lease.Holder == m.entry && !ownLease
	if m.version > 0 && !m.lease.Vacant && !ownLease && !earlierProcess && !suspected {
		expired := m.clock.AtLeast(m.now) >= m.lease.Until
		if !expired {
			m.freeSince = time.Time{}
			m.setWake(m.clock.Earliest(m.lease.Until).Add(safetyMargin))
			return
		}
	}
	if m.freeSince.IsZero() {
		m.freeSince = m.now
	}
	acquireAt := m.acquireAfter(m.freeSince)
	if m.now.Before(acquireAt) && !m.offered && !earlierProcess {
		m.setWake(acquireAt)
		return
	}
	if m.now.Before(m.nextWriteAt) {
		m.setWake(m.nextWriteAt)
		return
	}
	formerUntil := m.lease.FormerUntil
	// The holder may act until its lease ends if the answer to its release was lost. One that offers the pool has
	// the answer.
	if !ownLease && !earlierProcess && !m.offered {
		formerUntil = max(formerUntil, m.lease.Until)
	}
	m.previousLeaseEnd = time.Time{}
	if remaining := formerUntil - m.clock.AtLeast(m.now); remaining > 0 {
		m.previousLeaseEnd = m.now.Add(time.Duration(remaining) * time.Millisecond)
	} else {
		formerUntil = 0
	}
	m.writeLease(Lease{
		Holder: m.entry, Incarnation: m.incarnation, Epoch: m.lease.Epoch.NextTenure(), FormerUntil: formerUntil,
		Until: m.clock.AtLeast(m.now) + endive.PlatformTime(time.Duration(m.settings.Lease).Milliseconds()),
	}, true)
}
