package store

import "endiveroute.example/endive"

// Do carries out an action on the table service: Commit, Fetch or Scan. It
// returns at once, and gives the answers to deliver from a goroutine of the
// client. A Commit whose answer was lost is delivered twice: as CommitUnknown,
// and when it is known. Do reports whether the action was one of these.
func (c *Client) Do(action endive.Action, deliver func(endive.Event)) bool {
	switch a := action.(type) {
	case endive.Commit:
		c.Submit(a.Transaction, func(committed endive.Committed) { deliver(committed) })
	case endive.Fetch:
		c.startOperation(&fetchOperation{client: c, fetch: a, deliver: deliver})
	case endive.Scan:
		c.startOperation(&scanOperation{client: c, scan: a, deliver: deliver})
	default:
		return false
	}
	return true
}

// Submit writes a transaction as Do does.
func (c *Client) Submit(txn endive.Transaction, deliver func(endive.Committed)) {
	c.startOperation(&commitOperation{client: c, txn: txn, deliver: deliver})
}

// operation is something under way.
type operation interface{ run() }

// startOperation runs an operation in a goroutine of its own.
func (c *Client) startOperation(op operation) {
	c.operations.Add(1)
	go op.run()
}
