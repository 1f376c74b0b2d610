package elect

import (
	"encoding/json"
	"fmt"
	"time"

	"endiveroute.example/endive"
)

// Settings are the intervals of a Machine.
type Settings struct {
	// Lease is the duration of a lease, counted from its last renewal.
	Lease endive.Interval
	// Renewal is the pause between two renewals of a lease by its holder.
	Renewal endive.Interval
	// Retry is the pause after a failed write.
	Retry endive.Interval
}

// safetyMargin is how much earlier than the expiry in the lease's row a holder treats its own
// lease as expired, and how much later other entries treat the lease as expired.
const safetyMargin = 100 * time.Millisecond

// Machine decides whether this entry holds one pool. It implements endive.Machine.
type Machine struct {
	entry       endive.EntryID
	incarnation endive.Incarnation
	pool        endive.PoolName
	fence       func(endive.Epoch) endive.Write
	settings    Settings
	clock       endive.PlatformClock
	writeIDs    *endive.WriteIDs

	now     time.Time
	actions []endive.Action

	// version and lease are the lease's row as last read or written.
	version    endive.Version
	lease      Lease
	rowCurrent bool
	// suspectedIncarnation is the incarnation of the holder if its process has probably
	// ended.
	suspectedIncarnation endive.Incarnation
	// freeSince is when this machine first found the lease expired or vacant.
	freeSince time.Time
	// acquireAfter returns when this entry may acquire a pool that has been free since
	// freeSince. Entries that are preferred for the pool may acquire it earlier.
	acquireAfter func(freeSince time.Time) time.Time

	// offered is true if the previous holder released the lease in favor of this entry.
	offered   bool
	holding   bool
	leaseEnd  time.Time
	releasing bool
	// pendingWrite is the ID of the write that has no answer yet; empty if there is none. acquiring is true if it is that
	// of a new lease.
	pendingWrite endive.WriteID
	acquiring    bool
	// previousLeaseEnd is when the leases of all earlier holders have certainly expired.
	previousLeaseEnd time.Time
	writtenLease     Lease
	nextWriteAt      time.Time
}

// New returns an entry's machine for one pool. fence returns the write that replaces the
// pool's fence row. acquireAfter returns when this entry may acquire a pool that has been
// free since a given time.
func New(entry endive.EntryID, incarnation endive.Incarnation, pool endive.PoolName, fence func(endive.Epoch) endive.Write,
	acquireAfter func(freeSince time.Time) time.Time, settings Settings, clock endive.PlatformClock, writeIDs *endive.WriteIDs) *Machine {
	return &Machine{
		entry: entry, incarnation: incarnation, pool: pool, fence: fence, acquireAfter: acquireAfter,
		settings: settings, clock: clock, writeIDs: writeIDs,
	}
}

// Holding reports whether this entry holds the pool.
func (m *Machine) Holding() bool { return m.holding }

// Holder returns the entry that holds the pool according to the last known lease, or "" if
// there is none or it is vacant.
func (m *Machine) Holder() endive.EntryID {
	if m.lease.Vacant {
		return ""
	}
	return m.lease.Holder
}

// HoldingOrAcquiring reports whether this entry holds the pool or has a write of its lease
// in flight.
func (m *Machine) HoldingOrAcquiring() bool { return m.holding || m.pendingWrite != "" }

// Step implements endive.Machine.
func (m *Machine) Step(now time.Time, event endive.Event) []endive.Action {
	m.now, m.actions = now, nil
	switch e := event.(type) {
	case LeaseRow:
		m.applyRow(e)
	case Fenced:
		m.handleFenced(e)
	case HolderSuspected:
		if !m.holding && e.Holder == m.lease.Holder && e.Incarnation == m.lease.Incarnation {
			m.suspectedIncarnation = e.Incarnation
		}
	case Superseded:
		m.handleSuperseded(e)
	case Offered:
		m.applyRow(e.Lease)
		m.offered = m.version == e.Lease.Version && !m.holding
	case Release:
		m.releasing = true
		m.nextWriteAt = now
	case endive.Committed:
		m.handleCommitted(e)
	}
	m.advance()
	out := m.actions
	m.actions = nil
	return out
}

func (m *Machine) emit(action endive.Action) { m.actions = append(m.actions, action) }

// applyRow updates the machine with the lease's row and ends the tenure if the row belongs
// to another holder or epoch. It ignores rows older than the known one.
func (m *Machine) applyRow(e LeaseRow) {
	if e.Version < m.version {
		return
	}
	m.rowCurrent = true
	if e.Version > m.version {
		m.offered = false
		// The holder wrote a newer row, so its process is alive.
		m.suspectedIncarnation = ""
	}
	m.version = e.Version
	m.lease = Lease{}
	if e.Version > 0 {
		if err := json.Unmarshal(e.Value, &m.lease); err != nil {
			// A malformed row belongs to no entry. The next epoch must be higher than any
			// earlier one. Each tenure needs a write, so the row's version is an upper
			// bound of their number.
			m.lease = Lease{Epoch: endive.Epoch(e.Version) * endive.EpochsPerTenure}
		}
	}
	switch {
	case !m.holding:
	case m.lease.Epoch != m.writtenLease.Epoch || m.lease.Incarnation != m.incarnation:
		m.loseTenure(fmt.Sprintf("%s holds epoch %d", m.lease.Holder, m.lease.Epoch))
	case m.lease.Vacant:
		// The answer to the release was lost.
		m.endReleased()
	}
}

// endReleased ends the tenure whose lease this entry has released.
func (m *Machine) endReleased() {
	m.endTenure(TenureEnded{Reason: "lease released", Released: true, Lease: LeaseRow{Version: m.version, Value: m.lease.encode()}})
}

func (m *Machine) loseTenure(reason string) { m.endTenure(TenureEnded{Reason: reason}) }

// endTenure makes the machine a non-holder and emits the action that ends the tenure.
func (m *Machine) endTenure(ended TenureEnded) {
	m.holding = false
	m.freeSince = time.Time{}
	m.emit(ended)
}

// handleFenced ends the tenure that was rejected in favor of a higher epoch.
func (m *Machine) handleFenced(e Fenced) {
	if m.holding && e.Epoch == m.writtenLease.Epoch {
		m.loseTenure("a higher epoch is known to a worker or the store")
		m.readAgain()
	}
}

// handleSuperseded ends the tenure after another entry reported a higher epoch. A holder
// that can't reach the store can't read the new lease.
func (m *Machine) handleSuperseded(e Superseded) {
	if m.holding && e.Epoch > m.writtenLease.Epoch {
		m.loseTenure(fmt.Sprintf("epoch %d is held by another entry", e.Epoch))
		m.readAgain()
	}
}

// advance renews, releases or acquires the lease if that is due.
func (m *Machine) advance() {
	if m.pendingWrite != "" || !m.clock.Known() || !m.rowCurrent {
		return
	}
	if m.holding {
		m.renewOrRelease()
		return
	}
	m.acquire()
}

// renewOrRelease renews the lease, or releases it after a Release event.
func (m *Machine) renewOrRelease() {
	if m.now.Before(m.nextWriteAt) {
		m.setWake(m.nextWriteAt)
		return
	}
	next := m.writtenLease
	if next.Vacant = m.releasing; !next.Vacant {
		next.Until = m.clock.AtLeast(m.now) + endive.PlatformTime(time.Duration(m.settings.Lease).Milliseconds())
	}
	m.writeLease(next, false)
}

// writeLease writes the lease's row, together with the fence row if the lease is new.
func (m *Machine) writeLease(lease Lease, acquiring bool) {
	txn := endive.Transaction{
		WriteID:    m.writeIDs.Next(),
		Conditions: []endive.Condition{{Key: LeaseKey(m.pool), Version: m.version}},
		Writes:     []endive.Write{{Key: LeaseKey(m.pool), Value: lease.encode()}},
	}
	if acquiring {
		txn.Writes = append(txn.Writes, m.fence(lease.Epoch))
	}
	m.pendingWrite, m.acquiring = txn.WriteID, acquiring
	m.writtenLease = lease
	m.nextWriteAt = m.settings.Renewal.After(m.now)
	m.emit(Commit{Transaction: txn})
}

// handleCommitted handles the result of the pending write.
func (m *Machine) handleCommitted(e endive.Committed) {
	if e.WriteID != m.pendingWrite {
		return
	}
	m.pendingWrite, m.offered = "", false
	if e.Status != endive.CommitApplied {
		// The row may or may not have changed, so it has to be read again.
		m.nextWriteAt = m.settings.Retry.After(m.now)
		m.readAgain()
		return
	}
	if e.Result.Versions[0] < m.version {
		// Another entry has replaced the row, which was read before this answer arrived.
		return
	}
	m.version = e.Result.Versions[0]
	m.lease = m.writtenLease
	m.handleWritten(e.Result)
}

// handleWritten begins, extends or ends the tenure after its lease was written. A tenure that was lost in the meantime
// stays lost.
func (m *Machine) handleWritten(result endive.CommitResult) {
	leaseEnd := m.clock.Earliest(m.lease.Until).Add(-safetyMargin)
	switch {
	case m.acquiring && m.now.Before(leaseEnd):
		m.holding, m.leaseEnd = true, leaseEnd
		m.emit(TenureBegan{Epoch: m.lease.Epoch, FenceVersion: result.Versions[1], LeaseEnd: m.leaseEnd, PreviousLeaseEnd: m.previousLeaseEnd})
	case m.acquiring:
		// The process was frozen, and another entry may hold the pool by now.
		m.readAgain()
	case m.holding && m.lease.Vacant:
		m.endReleased()
	case m.holding:
		m.leaseEnd = leaseEnd
		m.emit(TenureRenewed{LeaseEnd: m.leaseEnd})
	}
}

// readAgain reads the row before anything else is written.
func (m *Machine) readAgain() {
	m.rowCurrent = false
	m.emit(ReadLease{})
}

func (m *Machine) setWake(at time.Time) { m.emit(endive.SetWake{At: at}) }
