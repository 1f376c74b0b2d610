package rows

import (
	"sort"
	"strings"
	"sync"

	"endiveroute.example/endive"
)

// Table is an in-memory table of rows. It is safe for concurrent use.
type Table struct {
	clock endive.Clock

	mu           sync.Mutex
	rows         map[string]endive.Row
	history      history
	revision     endive.Revision
	readLimiter  limiter
	writeLimiter limiter
	counts       Counts
}

// New returns an empty table. Its revision is 1.
func New(clock endive.Clock, settings Settings) *Table {
	return &Table{
		clock:        clock,
		rows:         make(map[string]endive.Row),
		revision:     1,
		readLimiter:  limiter{perSecond: settings.Reads},
		writeLimiter: limiter{perSecond: settings.Writes},
		counts:       Counts{Kinds: make(map[string]Count)},
	}
}

// Counts returns a copy of the counts.
func (t *Table) Counts() Counts {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := t.counts
	counts.Kinds = make(map[string]Count, len(t.counts.Kinds))
	for kind, count := range t.counts.Kinds {
		counts.Kinds[kind] = count
	}
	return counts
}

// commit applies txn, or returns the current rows of the conditions that don't
// hold.
func (t *Table) commit(txn endive.Transaction) (endive.CommitResult, []endive.Row) {
	t.mu.Lock()
	defer t.mu.Unlock()
	first := txn.Writes[0].Key
	t.counts.update(first, func(c *Count) { c.Writes++ })
	if conflicts := t.conflicts(txn.Conditions); len(conflicts) > 0 {
		t.counts.update(first, func(c *Count) { c.Conflicts++ })
		return endive.CommitResult{}, conflicts
	}
	t.revision++
	result := endive.CommitResult{Revision: t.revision}
	for _, w := range txn.Writes {
		row := endive.Row{
			Key:      w.Key,
			Version:  t.rows[w.Key].Version + 1,
			Revision: t.revision,
			WriteID:  txn.WriteID,
			Value:    w.Value,
			Deleted:  w.Delete,
		}
		t.rows[w.Key] = row
		t.history = append(t.history, change{t.revision, w.Key})
		t.counts.update(w.Key, func(c *Count) { c.RowsWritten++ })
		result.Versions = append(result.Versions, row.Version)
	}
	t.history = t.history.compact(t.rows)
	return result, nil
}

func (t *Table) conflicts(conditions []endive.Condition) []endive.Row {
	var conflicts []endive.Row
	for _, c := range conditions {
		row, present := t.rows[c.Key]
		version := row.Version
		if row.Deleted {
			version = 0
		}
		if version == c.Version {
			continue
		}
		if !present || row.Deleted {
			row = endive.Row{Key: c.Key}
		}
		conflicts = append(conflicts, row)
	}
	return conflicts
}

// read returns the rows of those keys that exist.
func (t *Table) read(keys []string) []endive.Row {
	t.mu.Lock()
	defer t.mu.Unlock()
	rows := make([]endive.Row, 0, len(keys))
	for i, key := range keys {
		if i == 0 {
			t.counts.update(key, func(c *Count) { c.Reads++ })
		}
		row, ok := t.rows[key]
		if !ok || row.Deleted {
			continue
		}
		t.counts.update(key, func(c *Count) { c.RowsRead++ })
		rows = append(rows, row)
	}
	return rows
}

// scan returns the rows below prefix that were changed after a revision,
// including deleted ones. With revision 0 it returns all rows that exist.
func (t *Table) scan(prefix string, after endive.Revision) endive.Changes {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts.update(prefix, func(c *Count) { c.Scans++ })
	changes := endive.Changes{Rows: make([]endive.Row, 0), Revision: t.revision}
	if after == 0 {
		for _, row := range t.rows {
			if !row.Deleted && strings.HasPrefix(row.Key, prefix) {
				changes.Rows = append(changes.Rows, row)
			}
		}
	} else {
		for _, c := range t.history.after(after) {
			row := t.rows[c.key]
			if row.Revision == c.revision && strings.HasPrefix(c.key, prefix) {
				changes.Rows = append(changes.Rows, row)
			}
		}
	}
	t.counts.update(prefix, func(c *Count) { c.RowsRead += len(changes.Rows) })
	sort.Slice(changes.Rows, func(i, j int) bool { return changes.Rows[i].Key < changes.Rows[j].Key })
	return changes
}

// admitRead counts a read or scan, and reports whether it is within the rate
// limit.
func (t *Table) admitRead() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	ok := t.readLimiter.allow(t.clock.Now())
	t.counts.MostReads = max(t.counts.MostReads, t.readLimiter.requests)
	t.countRefused(ok)
	return ok
}

// admitWrite counts a transaction, and reports whether it is within the rate
// limit.
func (t *Table) admitWrite() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	ok := t.writeLimiter.allow(t.clock.Now())
	t.counts.MostWrites = max(t.counts.MostWrites, t.writeLimiter.requests)
	t.countRefused(ok)
	return ok
}

func (t *Table) countRefused(ok bool) {
	if !ok {
		t.counts.OverBudget++
	}
}
