package store

import "endiveroute.example/endive"

// Do carries out an action on the table service: Commit, Fetch or Scan. It
// returns immediately and calls deliver with the result from another goroutine.
// For a Commit whose answer was lost, it calls deliver twice: with CommitUnknown,
// and with the result once it is resolved. After Close it delivers nothing. Do returns false for
// other actions.
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

// Submit writes a transaction. It calls deliver as Do does for a Commit.
func (c *Client) Submit(txn endive.Transaction, deliver func(endive.Committed)) {
	c.startOperation(&commitOperation{client: c, txn: txn, deliver: deliver})
}

// operation is an action on the table service in flight.
type operation interface{ run() }

// startOperation runs an operation in a new goroutine. After Close it does nothing: the roles of an
// entry still run while its store client is closed.
func (c *Client) startOperation(op operation) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.operations.Add(1)
	go op.run()
}
