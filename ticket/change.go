package ticket

import (
	"time"

	"endiveroute.example/endive"
)

// phase says how far a change is.
type phase int

const (
	// phaseReading waits for the row of the ticket's number.
	phaseReading phase = iota
	// phaseWriting waits for the transaction.
	phaseWriting
	// phaseWritten waits for the other entries.
	phaseWritten
	// phaseEnded has been answered for good.
	phaseEnded
)

// waiter is an Apply that waits for its answer.
type waiter struct {
	tag      Tag
	deadline time.Time
}

// change is a ticket on its way from Apply to in force.
type change struct {
	ticket    endive.Ticket
	digest    Digest
	resources []resource
	waiters   []waiter
	phase     phase
	// behind says that the read on its way was for an earlier change.
	behind bool
	// writeID is the transaction that is awaited.
	writeID   endive.WriteID
	unsettled bool
	tries     int
	// revision is the change of the table that wrote the ticket.
	revision endive.Revision
	// scan is the first scan of the entries' rows that counts: it was asked for
	// after the ticket was written.
	scan uint64
	// since is when the ticket was applied for.
	since time.Time
}

// answer answers all waiters.
func (c *change) answer(a ApplyResult) []endive.Action {
	var actions []endive.Action
	a.Number = c.ticket.Number
	a.Revision = c.revision
	for _, w := range c.waiters {
		a.Tag = w.tag
		actions = append(actions, a)
	}
	c.waiters = nil
	return actions
}

// answerDue answers the waiters whose deadline has come.
func (c *change) answerDue(now time.Time, a ApplyResult) []endive.Action {
	var due, rest []waiter
	for _, w := range c.waiters {
		if now.Before(w.deadline) {
			rest = append(rest, w)
		} else {
			due = append(due, w)
		}
	}
	c.waiters = due
	actions := c.answer(a)
	c.waiters = rest
	return actions
}

// transaction returns the transaction that writes the ticket, on the condition
// that the resources are as known.
func (c *change) transaction(id endive.WriteID, known *contents) endive.Transaction {
	txn := endive.Transaction{WriteID: id}
	number := ticketKey(c.ticket.Number)
	row := ticketRow{Digest: c.digest, Comment: c.ticket.Comment}
	for _, r := range c.resources {
		key := configKey(r.key)
		row.Resources = append(row.Resources, r.key)
		txn.Conditions = append(txn.Conditions, endive.Condition{Key: key, Version: known.rows[r.key].Version})
		txn.Writes = append(txn.Writes, endive.Write{Key: key, Value: encodeConfigured(r.configured)})
	}
	txn.Conditions = append(txn.Conditions, endive.Condition{Key: number})
	txn.Writes = append(txn.Writes, endive.Write{Key: number, Value: row.encode()})
	return txn
}
