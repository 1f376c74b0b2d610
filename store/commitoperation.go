package store

import (
	"context"
	"errors"

	"endiveroute.example/endive"
)

// commitOperation is one transaction in flight.
type commitOperation struct {
	client  *Client
	txn     endive.Transaction
	deliver func(endive.Committed)
	marker  *marker
}

func (w *commitOperation) run() {
	c := w.client
	defer c.operations.Done()
	select {
	case c.slots <- struct{}{}:
	case <-c.ctx.Done():
		w.deliver(w.newCommitted(endive.CommitUnavailable))
		return
	}
	defer w.release()
	w.marker = c.acquireMarker()
	committed := w.send()
	if committed.Status == endive.CommitUnknown {
		c.countUnknown()
		w.deliver(committed)
		var resolved bool
		if committed, resolved = w.resolve(); !resolved {
			return
		}
		c.countResolved()
	}
	c.releaseMarker(w.marker)
	w.deliver(committed)
}

func (w *commitOperation) release() { <-w.client.slots }

func (w *commitOperation) newCommitted(status endive.CommitStatus) endive.Committed {
	return endive.Committed{WriteID: w.txn.WriteID, Status: status}
}

// send sends the transaction, with the marker row added, and classifies the
// result.
func (w *commitOperation) send() endive.Committed {
	withMarker := w.marker.addTo(w.txn)
	var result endive.CommitResult
	err := w.client.try(w.client.ctx, func(ctx context.Context) error {
		w.client.countWrite(withMarker)
		var err error
		result, err = w.client.table.Commit(ctx, withMarker)
		return err
	})
	var conflict *endive.ConflictError
	switch {
	case err == nil:
		return w.handleApplied(result)
	case errors.As(err, &conflict):
		return w.handleConflict(conflict.Rows)
	case endive.ErrUnknown.Has(err):
		return w.newCommitted(endive.CommitUnknown)
	}
	return w.newCommitted(endive.CommitUnavailable)
}

// handleApplied stores the marker row's new version, and returns the result
// without the marker row.
func (w *commitOperation) handleApplied(result endive.CommitResult) endive.Committed {
	last := len(result.Versions) - 1
	w.marker.version = result.Versions[last]
	committed := w.newCommitted(endive.CommitApplied)
	committed.Result = endive.CommitResult{Revision: result.Revision, Versions: result.Versions[:last]}
	return committed
}

// handleConflict returns the result of a transaction whose conditions failed. If
// the marker row has the transaction's WriteID, an earlier attempt was applied and
// only the retry conflicts.
func (w *commitOperation) handleConflict(rows []endive.Row) endive.Committed {
	others := make([]endive.Row, 0, len(rows))
	for _, row := range rows {
		if row.Key != w.marker.key {
			others = append(others, row)
			continue
		}
		if row.WriteID != w.txn.WriteID {
			return w.newCommitted(endive.CommitUnknown)
		}
		committed, err := w.readApplied(row)
		if err != nil {
			return w.newCommitted(endive.CommitUnknown)
		}
		return committed
	}
	committed := w.newCommitted(endive.CommitConflict)
	committed.Conflicts = others
	return committed
}
