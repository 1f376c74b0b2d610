package store

import (
	"context"
	"errors"

	"github.com/zeebo/errs"

	"endiveroute.example/endive"
)

// errMarkerChanged means that the marker row is not as this client left it, so that
// it tells nothing.
var errMarkerChanged = errs.New("writing.settle: another process wrote the marker row")

// resolve finds out what became of a transaction whose answer was lost. It
// reports false if the client was closed before that.
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

// writeFence writes the marker row, unless the transaction did.
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

// notApplied answers that the transaction was not applied and never will be. The
// marker must have moved by one: a marker row deleted meanwhile tells nothing.
func (w *commitOperation) notApplied(version endive.Version) (endive.Committed, error) {
	if version != w.marker.version+1 {
		return endive.Committed{}, errMarkerChanged
	}
	w.marker.version = version
	return w.newCommitted(endive.CommitUnavailable), nil
}

// readApplied makes the answer of an applied transaction, of which mark is the
// marker's row. A row that others have written since counts as one version above
// its condition, which no longer holds and so can't mislead a later write.
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

// writtenKeys returns the writtenKeys that the transaction writes.
func (w *commitOperation) writtenKeys() []string {
	keys := make([]string, 0, len(w.txn.Writes))
	for _, write := range w.txn.Writes {
		keys = append(keys, write.Key)
	}
	return keys
}
