package store

import (
	"context"

	"endiveroute.example/endive"
)

// Commit implements endive.Table. It waits until the transaction's result is
// known. If ctx ends before, it returns an error of class ErrUnknown, and the
// client continues to resolve the transaction.
func (c *Client) Commit(ctx context.Context, txn endive.Transaction) (endive.CommitResult, error) {
	results := make(chan endive.Committed, 1)
	c.Submit(txn, func(committed endive.Committed) {
		if committed.Status != endive.CommitUnknown {
			results <- committed
		}
	})
	select {
	case committed := <-results:
		return newCommitResult(committed)
	case <-ctx.Done():
		return endive.CommitResult{}, endive.ErrUnknown.New("Client.Commit: %s: %w", txn.WriteID, ctx.Err())
	case <-c.ctx.Done():
		return endive.CommitResult{}, endive.ErrUnknown.New("Client.Commit: %s: the client was closed", txn.WriteID)
	}
}

// Read implements endive.Table.
func (c *Client) Read(ctx context.Context, keys ...string) ([]endive.Row, error) {
	var rows []endive.Row
	err := c.try(ctx, func(ctx context.Context) error {
		c.countRead(keys)
		var err error
		rows, err = c.table.Read(ctx, keys...)
		return err
	})
	return rows, err
}

// Scan implements endive.Table.
func (c *Client) Scan(ctx context.Context, prefix string, after endive.Revision) (endive.Changes, error) {
	var changes endive.Changes
	err := c.try(ctx, func(ctx context.Context) error {
		c.countScan(prefix)
		var err error
		changes, err = c.table.Scan(ctx, prefix, after)
		return err
	})
	return changes, err
}

// newCommitResult converts a known result to the result of endive.Table.Commit.
func newCommitResult(committed endive.Committed) (endive.CommitResult, error) {
	switch committed.Status {
	case endive.CommitApplied:
		return committed.Result, nil
	case endive.CommitConflict:
		return endive.CommitResult{}, endive.ErrConflict.Wrap(&endive.ConflictError{Rows: committed.Conflicts})
	}
	return endive.CommitResult{}, endive.ErrUnavailable.New("Client.Commit: %s: not applied", committed.WriteID)
}
