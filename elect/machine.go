package elect

import (
	"encoding/json"
	"fmt"
	"time"

	"endiveroute.example/endive"
)

// Settings are the intervals of a Machine.
type Settings struct {
	// Lease is how long a lease lasts after it was written.
	Lease endive.Interval
	// Renewal lies between two writes of the lease by its holder.
	Renewal endive.Interval
	// Retry is the pause after a write that failed.
	Retry endive.Interval
}

// safetyMargin is left between the end of our own lease and what others may think.
const safetyMargin = 100 * time.Millisecond

// Machine decides for one pool whether this entry holds it. It implements
// endive.Machine.
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

	// version and lease are the row as it was seen last.
	version    endive.Version
	lease      Lease
	rowCurrent bool
	// suspectedIncarnation is the incarnation of a holder whose process seems to have ended.
	suspectedIncarnation endive.Incarnation
	// freeSince is when the lease was first found to have run out.
	freeSince time.Time
	// acquireAfter tells until when this entry leaves a pool that is free since a time to
	// entries that suit better.
	acquireAfter func(freeSince time.Time) time.Time

	// offered says that the last holder left the pool to this entry.
	offered   bool
	holding   bool
	leaseEnd  time.Time
	releasing bool
	// pendingWrite is the write on its way.
	pendingWrite endive.WriteID
	// previousLeaseEnd is when the lease of the last holder has surely run out.
	previousLeaseEnd time.Time
	writtenLease     Lease
	nextWriteAt      time.Time
}

// New returns the machine of an entry for a pool. fence returns the write that
// replaces the pool's fence row; due tells until when a pool that is free since a
// time is left to entries that suit better.
func New(entry endive.EntryID, incarnation endive.Incarnation, pool endive.PoolName, fence func(endive.Epoch) endive.Write,
	acquireAfter func(freeSince time.Time) time.Time, settings Settings, clock endive.PlatformClock, writeIDs *endive.WriteIDs) *Machine {
	return &Machine{
		entry: entry, incarnation: incarnation, pool: pool, fence: fence, acquireAfter: acquireAfter,
		settings: settings, clock: clock, writeIDs: writeIDs,
	}
}

// Holding reports whether this entry holds the pool.
func (m *Machine) Holding() bool { return m.holding }

// Holder returns the entry that held the pool when its lease was seen last; empty
// where there was none.
func (m *Machine) Holder() endive.EntryID {
	if m.lease.Vacant {
		return ""
	}
	return m.lease.Holder
}

// HoldingOrAcquiring reports whether this entry holds the pool or is about to.
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

// applyRow takes in the row.
func (m *Machine) applyRow(e LeaseRow) {
	if e.Version < m.version {
		return
	}
	m.rowCurrent = true
	if e.Version > m.version {
		m.offered = false
		// Whoever writes the lease is alive.
		m.suspectedIncarnation = ""
	}
	m.version = e.Version
	m.lease = Lease{}
	if e.Version > 0 {
		if err := json.Unmarshal(e.Value, &m.lease); err != nil {
			// A row that can't be read belongs to nobody; its successor needs a
			// higher epoch than any before, which the version is.
			m.lease = Lease{Epoch: endive.Epoch(e.Version)}
		}
	}
	if m.holding && (m.lease.Epoch != m.writtenLease.Epoch || m.lease.Incarnation != m.incarnation) {
		m.loseTenure(fmt.Sprintf("%s holds epoch %d", m.lease.Holder, m.lease.Epoch))
	}
}

func (m *Machine) loseTenure(reason string) { m.endTenure(TenureEnded{Reason: reason}) }

// endTenure ends a tenure.
func (m *Machine) endTenure(ended TenureEnded) {
	m.holding = false
	m.freeSince = time.Time{}
	m.emit(ended)
}

// handleFenced ends a tenure whose epoch isn't the highest any more.
func (m *Machine) handleFenced(e Fenced) {
	if m.holding && e.Epoch == m.writtenLease.Epoch {
		m.loseTenure("a higher epoch is known")
		m.rowCurrent = false
		m.emit(ReadLease{})
	}
}

// handleSuperseded ends a tenure of which another entry says that it is over, which a
// holder that can't reach the store doesn't read there.
func (m *Machine) handleSuperseded(e Superseded) {
	if m.holding && e.Epoch > m.writtenLease.Epoch {
		m.loseTenure(fmt.Sprintf("epoch %d is held by another entry", e.Epoch))
		m.rowCurrent = false
		m.emit(ReadLease{})
	}
}

// advance does what is due.
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

// renewOrRelease renews the lease, or gives it up.
func (m *Machine) renewOrRelease() {
	if m.now.Before(m.nextWriteAt) {
		m.setWake(m.nextWriteAt)
		return
	}
	next := m.writtenLease
	next.Until = m.clock.AtLeast(m.now) + endive.PlatformTime(time.Duration(m.settings.Lease).Milliseconds())
	next.Vacant = m.releasing
	m.writeLease(next, false)
}

// acquire takes a lease that has run out, after a pause that leaves it to entries
// which suit better.
func (m *Machine) acquire() {
	if m.releasing {
		return
	}
	// A lease of this very process that isn't held any more was lost to a fence,
	// or taken by a write whose answer was lost; nobody else may take it.
	ownLease := m.lease.Incarnation == m.incarnation
	// The epoch keeps a holder out that is suspected wrongly.
	suspected := m.suspectedIncarnation != "" && m.suspectedIncarnation == m.lease.Incarnation
	// A lease of an earlierProcess process of this entry is free as well: that process has ended,
	// since this one runs in its place. After a restart of all entries nobody else can
	// tell so soon.
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
	m.previousLeaseEnd = time.Time{}
	if remaining := m.lease.Until - m.clock.AtLeast(m.now); remaining > 0 && !m.lease.Vacant && !ownLease && !earlierProcess {
		m.previousLeaseEnd = m.now.Add(time.Duration(remaining) * time.Millisecond)
	}
	m.writeLease(Lease{
		Holder: m.entry, Incarnation: m.incarnation, Epoch: m.lease.Epoch + 1,
		Until: m.clock.AtLeast(m.now) + endive.PlatformTime(time.Duration(m.settings.Lease).Milliseconds()),
	}, true)
}

// writeLease sends the lease's row, with the fence row for a new epoch.
func (m *Machine) writeLease(lease Lease, fence bool) {
	txn := endive.Transaction{
		WriteID:    m.writeIDs.Next(),
		Conditions: []endive.Condition{{Key: LeaseKey(m.pool), Version: m.version}},
		Writes:     []endive.Write{{Key: LeaseKey(m.pool), Value: lease.encode()}},
	}
	if fence {
		txn.Writes = append(txn.Writes, m.fence(lease.Epoch))
	}
	m.pendingWrite = txn.WriteID
	m.writtenLease = lease
	m.nextWriteAt = m.settings.Renewal.After(m.now)
	m.emit(Commit{Transaction: txn})
}

// handleCommitted takes in what became of a write.
func (m *Machine) handleCommitted(e endive.Committed) {
	if e.WriteID != m.pendingWrite {
		return
	}
	m.pendingWrite, m.offered = "", false
	if e.Status != endive.CommitApplied {
		// Whatever the row is now, reading it tells.
		m.nextWriteAt = m.settings.Retry.After(m.now)
		m.rowCurrent = false
		m.emit(ReadLease{})
		return
	}
	m.version = e.Result.Versions[0]
	m.lease = m.writtenLease
	if m.writtenLease.Vacant {
		m.endTenure(TenureEnded{Reason: "handed over", Released: true, Lease: LeaseRow{Version: m.version, Value: m.lease.encode()}})
		return
	}
	m.leaseEnd = m.clock.Earliest(m.writtenLease.Until).Add(-safetyMargin)
	if m.holding {
		m.emit(TenureRenewed{LeaseEnd: m.leaseEnd})
		return
	}
	m.holding = true
	m.emit(TenureBegan{Epoch: m.writtenLease.Epoch, FenceVersion: e.Result.Versions[1], LeaseEnd: m.leaseEnd, PreviousLeaseEnd: m.previousLeaseEnd})
}

func (m *Machine) setWake(at time.Time) { m.emit(endive.SetWake{At: at}) }
