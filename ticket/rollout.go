package ticket

import (
	"time"

	"endiveroute.example/endive"
)

// phase is the phase of a rollout.
type phase int

const (
	// phaseReadingStored waits for the read of the row stored under the ticket's
	// number.
	phaseReadingStored phase = iota
	// phaseWriting waits for the transaction that writes the ticket.
	phaseWriting
	// phaseWritten waits until all entries have confirmed the ticket.
	phaseWritten
	// phaseFinished means that the final result has been returned, or that the rollout
	// is no longer tracked.
	phaseFinished
)

// waiter is an Apply whose result is pending.
type waiter struct {
	tag      Tag
	deadline time.Time
}

// rollout is the process of writing a ticket and waiting until all entries have
// confirmed it.
type rollout struct {
	ticket    endive.Ticket
	digest    Digest
	resources []resource
	waiters   []waiter
	phase     phase
	// readQueued is set if the read must wait for the read of another rollout that is
	// in flight.
	readQueued bool
	// writeID identifies the latest transaction that writes the ticket.
	writeID     endive.WriteID
	unconfirmed bool
	attempts    int
	// revision is the table revision at which the ticket was written.
	revision endive.Revision
	// minEntriesScan is the first scan of the entries' rows that started after the
	// ticket was written. Only this scan and later ones show every entry that must
	// confirm the ticket.
	minEntriesScan uint64
	// startedAt is when the ticket was submitted.
	startedAt time.Time
}

// answerAll returns a to all waiters.
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

// answerDue returns a to the waiters whose deadline has passed.
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

// transaction returns the transaction that writes the ticket. It applies only if the
// resources still have the versions in config and the number is unused.
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
