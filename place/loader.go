package place

import (
	"encoding/json"
	"sort"
	"time"

	"endiveroute.example/endive"
	"endiveroute.example/endive/rows"
)

// loader reads the slice's rows from the table: all of them after a takeover,
// then the changed ones.
type loader struct {
	jobs, cancels scanner
	// progress is scanned once per takeover. After that, only this holder writes
	// progress rows.
	progress scanner
	// progressRows are progress rows that can be applied only when all jobs have
	// been read.
	progressRows []endive.Row
	// rosterPending counts the fetches of the roster without an answer; rosterStale
	// counts those of them that were sent in an earlier epoch.
	rosterPending, rosterStale int
	rosterRead                 bool
	// loaded is set once all rows of the previous holder have been read.
	loaded bool
	scanAt time.Time
	// earlyCancels are cancellations whose jobs haven't been read yet, with the
	// revision of the cancellation's row.
	earlyCancels map[endive.JobID]endive.Revision
	// pendingCancels are cancellations that have been read but not applied yet.
	pendingCancels []endive.Row
}

// scanner scans the rows with one key prefix. Every Scan gets exactly one
// answer.
type scanner struct {
	after   endive.Revision
	pending int
	stale   int
	read    bool
	wanted  bool
}

// restart makes the loader read all rows again. Answers to earlier requests are
// ignored.
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

// restart makes the scanner begin at the first row.
func (s *scanner) restart() { *s = scanner{pending: s.pending, stale: s.pending, wanted: true} }

// acceptResult counts an answer and reports whether it belongs to a scan of the
// current epoch.
func (s *scanner) acceptResult() bool {
	s.pending--
	if s.stale > 0 {
		s.stale--
		return false
	}
	return true
}

// requestScans requests the rows that may have changed, every ScanInterval.
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

// handleScanned handles the answer to a scan.
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

// handleFetched handles the answer to the fetch of the roster.
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

// finishLoading completes the loading once all rows of the previous holder have
// been read.
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

// handleJobRows adds the new jobs.
func (m *Machine) handleJobRows(changes endive.Changes) {
	s := &m.loader.jobs
	fromPrevious := !s.read
	s.read, s.after = true, changes.Revision
	for _, row := range changes.Rows {
		id := rows.ParseJobKey(m.slice.ID, row.Key)
		if row.Deleted || m.jobs[id] != nil {
			continue
		}
		m.handleJobRow(id, row, fromPrevious)
	}
	m.deleteStaleCancels()
	m.finishLoading()
}

func (m *Machine) handleJobRow(id endive.JobID, row endive.Row, fromPrevious bool) {
	j := &job{}
	if err := json.Unmarshal(row.Value, &j.Job); err != nil {
		m.logDecision(endive.DecisionRefuse, string(id), "skipped", "the job row can't be decoded: "+err.Error())
		return
	}
	j.ID = id
	m.admit(j, fromPrevious)
	if _, ok := m.loader.earlyCancels[id]; ok && m.loader.loaded {
		delete(m.loader.earlyCancels, id)
		m.cancelJob(j)
	}
}

// handleProgressRow restores a job's progress from its row.
func (m *Machine) handleProgressRow(id endive.JobID, row endive.Row) {
	j := m.jobs[id]
	var p rows.Progress
	if j == nil {
		return
	}
	if err := json.Unmarshal(row.Value, &p); err != nil {
		m.logDecision(endive.DecisionRefuse, string(id), "not started", "the progress row can't be decoded: "+err.Error())
		j.unreadable = true
		return
	}
	j.restoreProgress(p)
	m.updateWaitingCount(j)
}

// handleCancelRows queues the cancellations to be applied.
func (m *Machine) handleCancelRows(changes endive.Changes) {
	s := &m.loader.cancels
	s.read, s.after = true, changes.Revision
	m.loader.pendingCancels = append(m.loader.pendingCancels, changes.Rows...)
	m.finishLoading()
}

// applyCancels applies up to maxCancelsPerStep cancellations, so that many of
// them at once don't delay placements.
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

// deleteStaleCancels deletes the cancellations of jobs that have ended. A job
// has ended if it is missing though the jobs were read at a later revision than
// the cancellation's.
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
