package place

import (
	"encoding/json"
	"sort"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/rows"
)

// loader reads the slice's rows: all after a takeover, then what changed.
type loader struct {
	jobs, cancels scanner
	// progress is read once, by the new holder.
	progress scanner
	// progressRows is progress that was read before its jobs.
	progressRows []endive.Row
	// rosterPending counts the unanswered fetches of the roster; stale of them are
	// of a former epoch.
	rosterPending, rosterStale int
	rosterRead                 bool
	// loaded says that all rows of the former holder have been read.
	loaded bool
	scanAt time.Time
	// earlyCancels are cancellations of jobs that weren't seen yet, by the revision of
	// their row.
	earlyCancels map[endive.JobID]endive.Revision
	// pendingCancels are cancellations that were read and not taken in yet.
	pendingCancels []endive.Row
}

// scanner reads the rows below one prefix. Every Scan is answered once.
type scanner struct {
	after   endive.Revision
	pending int
	stale   int
	read    bool
	wanted  bool
}

// restart begins again. Answers to what was asked before are dropped.
func (l *loader) restart(now time.Time) {
	l.jobs.restart()
	l.cancels.restart()
	l.progress.restart()
	l.progressRows = nil
	l.rosterStale, l.rosterRead = l.rosterPending, false
	l.loaded, l.scanAt = false, now
	l.pendingCancels = nil
	l.earlyCancels = make(map[endive.JobID]endive.Revision)
}

// restart begins at the first row.
func (s *scanner) restart() { *s = scanner{pending: s.pending, stale: s.pending, wanted: true} }

// acceptResult reports whether an answer is to the current epoch's scan.
func (s *scanner) acceptResult() bool {
	s.pending--
	if s.stale > 0 {
		s.stale--
		return false
	}
	return true
}

// requestScans asks for what may have changed.
func (m *Machine) requestScans() {
	l := &m.loader
	if !m.now.Before(l.scanAt) {
		l.scanAt = m.settings.ScanInterval.After(m.now)
		l.jobs.wanted, l.cancels.wanted, m.usages.scanner.wanted = true, true, true
		l.progress.wanted = !l.progress.read
		if !l.rosterRead && l.rosterPending == 0 {
			l.rosterPending++
			m.emit(endive.Fetch{Keys: []string{rows.RosterKey(m.slice.ID)}})
		}
	}
	m.requestScan(&l.jobs, rows.JobsPrefix(m.slice.ID))
	m.requestScan(&l.cancels, rows.CancelsPrefix(m.slice.ID))
	m.requestScan(&l.progress, rows.ProgressPrefix(m.slice.ID))
	if m.usages.quotasConfigured {
		m.requestScan(&m.usages.scanner, rows.UsagePrefix)
	}
}

func (m *Machine) requestScan(s *scanner, prefix string) {
	if !s.wanted || s.pending > 0 {
		return
	}
	s.wanted = false
	s.pending++
	m.emit(endive.Scan{Prefix: prefix, After: s.after})
}

// handleScanned takes in changed rows.
func (m *Machine) handleScanned(e endive.Scanned) {
	switch e.Prefix {
	case rows.JobsPrefix(m.slice.ID):
		if m.loader.jobs.acceptResult() && !e.Unavailable && m.active {
			m.handleJobRows(e.Changes)
		}
	case rows.CancelsPrefix(m.slice.ID):
		if m.loader.cancels.acceptResult() && !e.Unavailable && m.active {
			m.handleCancelRows(e.Changes)
		}
	case rows.ProgressPrefix(m.slice.ID):
		if !m.loader.progress.acceptResult() || !m.active {
			return
		}
		m.loader.progress.read = !e.Unavailable
		m.loader.progressRows = e.Changes.Rows
		m.finishLoading()
	case rows.UsagePrefix:
		if m.usages.scanner.acceptResult() && !e.Unavailable && m.active {
			m.handleUsageRows(e.Changes)
		}
	}
}

// handleFetched takes in the roster.
func (m *Machine) handleFetched(e endive.Fetched) {
	if len(e.Keys) != 1 || e.Keys[0] != rows.RosterKey(m.slice.ID) {
		return
	}
	l := &m.loader
	l.rosterPending--
	if l.rosterStale > 0 {
		l.rosterStale--
		return
	}
	if e.Unavailable || l.rosterRead || !m.active {
		return
	}
	var roster rows.Roster
	if len(e.Rows) == 1 && !e.Rows[0].Deleted {
		if err := json.Unmarshal(e.Rows[0].Value, &roster); err != nil {
			m.logDecision(endive.DecisionLease, string(m.slice.ID), "roster unreadable", err.Error())
			return
		}
	}
	l.rosterRead = true
	for _, id := range roster.Workers {
		w := m.findOrAddWorker(id)
		w.inPreviousRoster, w.inRoster = true, true
	}
	m.finishLoading()
}

// finishLoading goes on once everything of the former holder has been read.
func (m *Machine) finishLoading() {
	l := &m.loader
	if l.loaded || !l.rosterRead || !l.jobs.read || !l.cancels.read || !l.progress.read {
		return
	}
	l.loaded = true
	for _, row := range l.progressRows {
		m.handleProgressRow(rows.ParseProgressKey(m.slice.ID, row.Key), row)
	}
	l.progressRows = nil
	m.adoptAttempts()
	for len(l.pendingCancels) > 0 {
		m.applyCancels()
	}
	for _, j := range m.jobsInOrder() {
		if _, ok := l.earlyCancels[j.ID]; ok {
			delete(l.earlyCancels, j.ID)
			m.cancelJob(j)
		}
		m.endJobIfDone(j)
	}
	m.deleteStaleCancels()
	m.recordRoster()
	m.passNeeded = true
}

// handleJobRows takes in new jobs.
func (m *Machine) handleJobRows(changes endive.Changes) {
	s := &m.loader.jobs
	first := !s.read
	s.read, s.after = true, changes.Revision
	for _, row := range changes.Rows {
		id := rows.ParseJobKey(m.slice.ID, row.Key)
		if row.Deleted || m.jobs[id] != nil {
			continue
		}
		m.handleJobRow(id, row, first)
	}
	m.deleteStaleCancels()
	m.finishLoading()
}

func (m *Machine) handleJobRow(id endive.JobID, row endive.Row, first bool) {
	j := &job{}
	if err := json.Unmarshal(row.Value, &j.Job); err != nil {
		m.logDecision(endive.DecisionRefuse, string(id), "skipped", "its row is unreadable: "+err.Error())
		return
	}
	j.ID = id
	m.admit(j, first)
	if _, ok := m.loader.earlyCancels[id]; ok && m.loader.loaded {
		delete(m.loader.earlyCancels, id)
		m.cancelJob(j)
	}
}

// handleProgressRow takes in what the former holder has recorded of a job.
func (m *Machine) handleProgressRow(id endive.JobID, row endive.Row) {
	j := m.jobs[id]
	var p rows.Progress
	if j == nil {
		return
	}
	if err := json.Unmarshal(row.Value, &p); err != nil {
		m.logDecision(endive.DecisionRefuse, string(id), "left alone", "its progress is unreadable: "+err.Error())
		j.unreadable = true
		return
	}
	j.restoreProgress(p)
	m.updateWaitingCount(j)
}

// handleCancelRows takes in cancellations.
func (m *Machine) handleCancelRows(changes endive.Changes) {
	s := &m.loader.cancels
	s.read, s.after = true, changes.Revision
	m.loader.pendingCancels = append(m.loader.pendingCancels, changes.Rows...)
	m.finishLoading()
}

// applyCancels takes in a part of the cancellations that were read, so that a
// wave of them doesn't hold up placements.
func (m *Machine) applyCancels() {
	l := &m.loader
	if len(l.pendingCancels) == 0 {
		return
	}
	n := min(len(l.pendingCancels), maxCancelsPerStep)
	batch := l.pendingCancels[:n]
	l.pendingCancels = l.pendingCancels[n:]
	for _, row := range batch {
		if row.Deleted {
			continue
		}
		id := rows.ParseCancelKey(m.slice.ID, row.Key)
		if j := m.jobs[id]; j != nil && m.loader.loaded {
			if j.ended {
				m.deleteCancel(id)
			}
			m.cancelJob(j)
			continue
		}
		m.loader.earlyCancels[id] = row.Revision
	}
	m.deleteStaleCancels()
}

// deleteStaleCancels deletes cancellations of jobs that have ended: the jobs were read at
// a later revision and aren't there.
func (m *Machine) deleteStaleCancels() {
	if len(m.loader.earlyCancels) == 0 || !m.loader.loaded {
		return
	}
	var ended []endive.JobID
	for id, revision := range m.loader.earlyCancels {
		if revision <= m.loader.jobs.after {
			ended = append(ended, id)
		}
	}
	for _, id := range ended {
		delete(m.loader.earlyCancels, id)
	}
	sort.Slice(ended, func(i, k int) bool { return ended[i] < ended[k] })
	for _, id := range ended {
		m.deleteCancel(id)
	}
}
