package store

import (
	"context"
	"errors"

	"github.com/zeebo/errs"

	"endiveroute.example/endive"
)

// errMarkerChanged means that the marker row was changed by another process or
// deleted, so that the row doesn't show whether the transaction was applied.
var errMarkerChanged = errs.New("commitOperation.resolve: another process changed the marker row")

// resolve determines whether a transaction whose answer was lost was applied.
// resolve retries until it succeeds, and reports false if the client is closed
// before.
func (w *commitOperation) resolve() (endive.Committed, bool) {
	for try := 1; ; try++ {
		if w.client.allow() {
			committed, err := w.writeFence()
			if err == nil {
				return committed, true
			}
		}
		if !w.client.pause(w.client.ctx, try) {
			return endive.Committed{}, false
		}
	}
}

// writeFence writes the marker row on the condition that the transaction hasn't
// written it, and returns the transaction's result.
func (w *commitOperation) writeFence() (endive.Committed, error) {
	fence := w.marker.fence(w.txn.WriteID)
	var result endive.CommitResult
	err := w.client.tryOnce(w.client.ctx, func(ctx context.Context) error {
		w.client.countWrite(fence)
		var err error
		result, err = w.client.table.Commit(ctx, fence)
		return err
	})
	if err == nil {
		return w.notApplied(result.Versions[0])
	}
	var conflict *endive.ConflictError
	if !errors.As(err, &conflict) || len(conflict.Rows) != 1 {
		return endive.Committed{}, err
	}
	row := conflict.Rows[0]
	switch row.WriteID {
	case w.txn.WriteID:
		return w.readApplied(row)
	case fence.WriteID:
		return w.notApplied(row.Version)
	}
	return endive.Committed{}, errMarkerChanged
}

// notApplied returns the result of a transaction that was not applied and never
// will be, because the fence was applied. notApplied fails unless the fence
// raised the marker row's version by one: otherwise the row was deleted
// meanwhile.
func (w *commitOperation) notApplied(version endive.Version) (endive.Committed, error) {
	if version != w.marker.version+1 {
		return endive.Committed{}, errMarkerChanged
	}
	w.marker.version = version
	return w.newCommitted(endive.CommitUnavailable), nil
}

// readApplied returns the result of an applied transaction from the marker row
// and the rows that the transaction wrote. For a row that other writers have
// overwritten since, it returns the version of the row's condition plus one.
// That version is outdated, so a later write that depends on that version
// conflicts.
func (w *commitOperation) readApplied(markerRow endive.Row) (endive.Committed, error) {
	rows, err := w.client.Read(w.client.ctx, w.writtenKeys()...)
	if err != nil {
		return endive.Committed{}, err
	}
	versions := make(map[string]endive.Version, len(w.txn.Writes))
	for _, condition := range w.txn.Conditions {
		versions[condition.Key] = condition.Version + 1
	}
	for _, row := range rows {
		if row.WriteID == w.txn.WriteID {
			versions[row.Key] = row.Version
		}
	}
	committed := w.newCommitted(endive.CommitApplied)
	committed.Result.Revision = markerRow.Revision
	for _, write := range w.txn.Writes {
		committed.Result.Versions = append(committed.Result.Versions, versions[write.Key])
	}
	w.marker.version = markerRow.Version
	return committed, nil
}

// writtenKeys returns the keys that the transaction writes.
func (w *commitOperation) writtenKeys() []string {
	keys := make([]string, 0, len(w.txn.Writes))
	for _, write := range w.txn.Writes {
		keys = append(keys, write.Key)
	}
	return keys
}
