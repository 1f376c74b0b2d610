package ticket

import (
	"time"

	"endiveroute.example/endive"
)

// phase says how far a change is.
type phase int

const (
	// phaseReadingNumber waits for the row of the ticket's number.
	phaseReadingNumber phase = iota
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

// rollout is a ticket on its way from Apply to in force.
type rollout struct {
	ticket    endive.Ticket
	digest    Digest
	resources []resource
	waiters   []waiter
	phase     phase
	// queuedRead says that the read on its way was for an earlier change.
	queuedRead bool
	// writeID is the transaction that is awaited.
	writeID     endive.WriteID
	unconfirmed bool
	attempts    int
	// revision is the change of the table that wrote the ticket.
	revision endive.Revision
	// minEntriesScan is the first minEntriesScan of the entries' rows that counts: it was asked for
	// after the ticket was written.
	minEntriesScan uint64
	// startedAt is when the ticket was applied for.
	startedAt time.Time
}

// answerAll answers all waiters.
func (c *rollout) answerAll(a ApplyResult) []endive.Action {
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
func (c *rollout) answerDue(now time.Time, a ApplyResult) []endive.Action {
	var due, rest []waiter
	for _, w := range c.waiters {
		if now.Before(w.deadline) {
			rest = append(rest, w)
		} else {
			due = append(due, w)
		}
	}
	c.waiters = due
	actions := c.answerAll(a)
	c.waiters = rest
	return actions
}

// transaction returns the transaction that writes the ticket, on the condition
// that the resources are as known.
func (c *rollout) transaction(id endive.WriteID, config *knownConfig) endive.Transaction {
	txn := endive.Transaction{WriteID: id}
	number := ticketKey(c.ticket.Number)
	row := ticketRow{Digest: c.digest, Comment: c.ticket.Comment}
	for _, r := range c.resources {
		key := configKey(r.key)
		row.Resources = append(row.Resources, r.key)
		txn.Conditions = append(txn.Conditions, endive.Condition{Key: key, Version: config.rows[r.key].Version})
		txn.Writes = append(txn.Writes, endive.Write{Key: key, Value: encodeConfigured(r.configured)})
	}
	txn.Conditions = append(txn.Conditions, endive.Condition{Key: number})
	txn.Writes = append(txn.Writes, endive.Write{Key: number, Value: row.encode()})
	return txn
}
