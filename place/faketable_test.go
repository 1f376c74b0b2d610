package place

import (
	"sort"
	"strings"

	"endiveroute.example/endive"
)

// fakeTable is an in-memory table service.
type fakeTable struct {
	rows     map[string]endive.Row
	revision endive.Revision
}

func newFakeTable() *fakeTable { return &fakeTable{rows: make(map[string]endive.Row)} }

// version returns the version of a row, or 0 if the row doesn't exist.
func (t *fakeTable) version(key string) endive.Version {
	if row := t.rows[key]; !row.Deleted {
		return row.Version
	}
	return 0
}

// commit applies the transaction if all of its conditions hold.
func (t *fakeTable) commit(txn endive.Transaction) endive.CommitStatus {
	for _, c := range txn.Conditions {
		if t.version(c.Key) != c.Version {
			return endive.CommitConflict
		}
	}
	t.revision++
	for _, w := range txn.Writes {
		t.rows[w.Key] = endive.Row{
			Key: w.Key, Version: t.rows[w.Key].Version + 1, Revision: t.revision,
			WriteID: txn.WriteID, Value: w.Value, Deleted: w.Delete,
		}
	}
	return endive.CommitApplied
}

// scan returns the rows with the prefix that changed after a revision.
func (t *fakeTable) scan(prefix string, after endive.Revision) endive.Changes {
	changes := endive.Changes{Revision: t.revision}
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && row.Revision > after && (after > 0 || !row.Deleted) {
			changes.Rows = append(changes.Rows, row)
		}
	}
	sort.Slice(changes.Rows, func(i, k int) bool { return changes.Rows[i].Key < changes.Rows[k].Key })
	return changes
}
