package fakes

import (
	"context"
	"sort"
	"strings"

	"endiveroute.example/endive"
)

// MemoryTable is an in-memory table whose operations fail only because of conflicts. It
// implements endive.Table.
type MemoryTable struct {
	rows     map[string]endive.Row
	revision endive.Revision
}

// NewMemoryTable returns an empty table.
func NewMemoryTable() *MemoryTable { return &MemoryTable{rows: make(map[string]endive.Row)} }

// Revision returns the revision of the latest transaction.
func (r *MemoryTable) Revision() endive.Revision { return r.revision }

// Commit implements endive.Table.
func (r *MemoryTable) Commit(_ context.Context, txn endive.Transaction) (endive.CommitResult, error) {
	var conflicts []endive.Row
	for _, c := range txn.Conditions {
		row := r.rows[c.Key]
		if row.Deleted {
			row = endive.Row{}
		}
		if row.Version != c.Version {
			row.Key = c.Key
			conflicts = append(conflicts, row)
		}
	}
	if len(conflicts) > 0 {
		return endive.CommitResult{}, endive.ErrConflict.Wrap(&endive.ConflictError{Rows: conflicts})
	}
	r.revision++
	result := endive.CommitResult{Revision: r.revision}
	for _, w := range txn.Writes {
		row := endive.Row{
			Key: w.Key, Version: r.rows[w.Key].Version + 1, Revision: r.revision,
			WriteID: txn.WriteID, Value: w.Value, Deleted: w.Delete,
		}
		r.rows[w.Key] = row
		result.Versions = append(result.Versions, row.Version)
	}
	return result, nil
}

// Read implements endive.Table.
func (r *MemoryTable) Read(_ context.Context, keys ...string) ([]endive.Row, error) {
	var rows []endive.Row
	for _, key := range keys {
		if row, ok := r.rows[key]; ok && !row.Deleted {
			rows = append(rows, row)
		}
	}
	return rows, nil
}

// Scan implements endive.Table.
func (r *MemoryTable) Scan(_ context.Context, prefix string, after endive.Revision) (endive.Changes, error) {
	changes := endive.Changes{Revision: r.revision}
	for key, row := range r.rows {
		if strings.HasPrefix(key, prefix) && row.Revision > after && (after > 0 || !row.Deleted) {
			changes.Rows = append(changes.Rows, row)
		}
	}
	sort.Slice(changes.Rows, func(i, j int) bool { return changes.Rows[i].Key < changes.Rows[j].Key })
	return changes, nil
}
