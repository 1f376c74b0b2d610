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

// margin is left between the end of our own lease and what others may think.
const margin = 100 * time.Millisecond

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

	now time.Time
	out []endive.Action

	// version and lease are the row as it was seen last.
	version endive.Version
	lease   Lease
	seen    bool
	// suspected is the incarnation of a holder whose process seems to have ended.
	suspected endive.Incarnation
	// freeSince is when the lease was first found to have run out.
	freeSince time.Time
	// due tells until when this entry leaves a pool that is free since a time to
	// entries that suit better.
	due func(freeSince time.Time) time.Time

	// offered says that the last holder left the pool to this entry.
	offered bool
	holding bool
	until   time.Time
	giveUp  bool
	// inFlight is the write on its way.
	inFlight endive.WriteID
	// lastUntil is when the lease of the last holder has surely run out.
	lastUntil time.Time
	written   Lease
	nextAt    time.Time
}

// New returns the machine of an entry for a pool. fence returns the write that
// replaces the pool's fence row; due tells until when a pool that is free since a
// time is left to entries that suit better.
func New(entry endive.EntryID, incarnation endive.Incarnation, pool endive.PoolName, fence func(endive.Epoch) endive.Write,
	due func(freeSince time.Time) time.Time, settings Settings, clock endive.PlatformClock, writeIDs *endive.WriteIDs) *Machine {
	return &Machine{
		entry: entry, incarnation: incarnation, pool: pool, fence: fence, due: due,
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
func (m *Machine) HoldingOrAcquiring() bool { return m.holding || m.inFlight != "" }

// Step implements endive.Machine.
func (m *Machine) Step(now time.Time, event endive.Event) []endive.Action {
	m.now, m.out = now, nil
	switch e := event.(type) {
	case LeaseRow:
		m.saw(e)
	case Fenced:
		m.fenced(e)
	case HolderSuspected:
		if !m.holding && e.Holder == m.lease.Holder && e.Incarnation == m.lease.Incarnation {
			m.suspected = e.Incarnation
		}
	case Superseded:
		m.superseded(e)
	case Offered:
		m.saw(e.Lease)
		m.offered = m.version == e.Lease.Version && !m.holding
	case Release:
		m.giveUp = true
		m.nextAt = now
	case endive.Committed:
		m.committed(e)
	}
	m.advance()
	out := m.out
	m.out = nil
	return out
}

func (m *Machine) emit(action endive.Action) { m.out = append(m.out, action) }

// saw takes in the row.
func (m *Machine) saw(e LeaseRow) {
	if e.Version < m.version {
		return
	}
	m.seen = true
	if e.Version > m.version {
		m.offered = false
		// Whoever writes the lease is alive.
		m.suspected = ""
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
	if m.holding && (m.lease.Epoch != m.written.Epoch || m.lease.Incarnation != m.incarnation) {
		m.lose(fmt.Sprintf("%s holds epoch %d", m.lease.Holder, m.lease.Epoch))
	}
}

func (m *Machine) lose(reason string) { m.end(TenureEnded{Reason: reason}) }

// end ends a tenure.
func (m *Machine) end(lost TenureEnded) {
	m.holding = false
	m.freeSince = time.Time{}
	m.emit(lost)
}

// fenced ends a tenure whose epoch isn't the highest any more.
func (m *Machine) fenced(e Fenced) {
	if m.holding && e.Epoch == m.written.Epoch {
		m.lose("a higher epoch is known")
		m.seen = false
		m.emit(ReadLease{})
	}
}

// superseded ends a tenure of which another entry says that it is over, which a
// holder that can't reach the store doesn't read there.
func (m *Machine) superseded(e Superseded) {
	if m.holding && e.Epoch > m.written.Epoch {
		m.lose(fmt.Sprintf("epoch %d is held by another entry", e.Epoch))
		m.seen = false
		m.emit(ReadLease{})
	}
}

// advance does what is due.
func (m *Machine) advance() {
	if m.inFlight != "" || !m.clock.Known() || !m.seen {
		return
	}
	if m.holding {
		m.keep()
		return
	}
	m.take()
}

// keep renews the lease, or gives it up.
func (m *Machine) keep() {
	if m.now.Before(m.nextAt) {
		m.wake(m.nextAt)
		return
	}
	next := m.written
	next.Until = m.clock.AtLeast(m.now) + endive.PlatformTime(time.Duration(m.settings.Lease).Milliseconds())
	next.Vacant = m.giveUp
	m.write(next, false)
}

// take takes a lease that has run out, after a pause that leaves it to entries
// which suit better.
func (m *Machine) take() {
	if m.giveUp {
		return
	}
	// A lease of this very process that isn't held any more was lost to a fence,
	// or taken by a write whose answer was lost; nobody else may take it.
	ours := m.lease.Incarnation == m.incarnation
	// The epoch keeps a holder out that is suspected wrongly.
	suspected := m.suspected != "" && m.suspected == m.lease.Incarnation
	// A lease of an earlier process of this entry is free as well: that process has ended,
	// since this one runs in its place. After a restart of all entries nobody else can
	// tell so soon.
	earlier := m.lease.Holder == m.entry && !ours
	if m.version > 0 && !m.lease.Vacant && !ours && !earlier && !suspected {
		over := m.clock.AtLeast(m.now) >= m.lease.Until
		if !over {
			m.freeSince = time.Time{}
			m.wake(m.clock.Earliest(m.lease.Until).Add(margin))
			return
		}
	}
	if m.freeSince.IsZero() {
		m.freeSince = m.now
	}
	due := m.due(m.freeSince)
	if m.now.Before(due) && !m.offered && !earlier {
		m.wake(due)
		return
	}
	if m.now.Before(m.nextAt) {
		m.wake(m.nextAt)
		return
	}
	m.lastUntil = time.Time{}
	if left := m.lease.Until - m.clock.AtLeast(m.now); left > 0 && !m.lease.Vacant && !ours && !earlier {
		m.lastUntil = m.now.Add(time.Duration(left) * time.Millisecond)
	}
	m.write(Lease{
		Holder: m.entry, Incarnation: m.incarnation, Epoch: m.lease.Epoch + 1,
		Until: m.clock.AtLeast(m.now) + endive.PlatformTime(time.Duration(m.settings.Lease).Milliseconds()),
	}, true)
}

// write sends the lease's row, with the fence row for a new epoch.
func (m *Machine) write(lease Lease, fence bool) {
	txn := endive.Transaction{
		WriteID:    m.writeIDs.Next(),
		Conditions: []endive.Condition{{Key: LeaseKey(m.pool), Version: m.version}},
		Writes:     []endive.Write{{Key: LeaseKey(m.pool), Value: lease.encode()}},
	}
	if fence {
		txn.Writes = append(txn.Writes, m.fence(lease.Epoch))
	}
	m.inFlight = txn.WriteID
	m.written = lease
	m.nextAt = m.settings.Renewal.After(m.now)
	m.emit(Commit{Transaction: txn})
}

// committed takes in what became of a write.
func (m *Machine) committed(e endive.Committed) {
	if e.WriteID != m.inFlight {
		return
	}
	m.inFlight, m.offered = "", false
	if e.Status != endive.CommitApplied {
		// Whatever the row is now, reading it tells.
		m.nextAt = m.settings.Retry.After(m.now)
		m.seen = false
		m.emit(ReadLease{})
		return
	}
	m.version = e.Result.Versions[0]
	m.lease = m.written
	if m.written.Vacant {
		m.end(TenureEnded{Reason: "handed over", Released: true, Lease: LeaseRow{Version: m.version, Value: m.lease.encode()}})
		return
	}
	m.until = m.clock.Earliest(m.written.Until).Add(-margin)
	if m.holding {
		m.emit(TenureRenewed{Until: m.until})
		return
	}
	m.holding = true
	m.emit(TenureBegan{Epoch: m.written.Epoch, FenceVersion: e.Result.Versions[1], Until: m.until, PreviousUntil: m.lastUntil})
}

func (m *Machine) wake(at time.Time) { m.emit(endive.SetWake{At: at}) }
