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

// answerAll sends the result to all waiters.
func (r *rollout) answerAll(a ApplyResult) []endive.Action {
	var actions []endive.Action
	a.Number = r.ticket.Number
	a.Revision = r.revision
	for _, w := range r.waiters {
		a.Tag = w.tag
		actions = append(actions, a)
	}
	r.waiters = nil
	return actions
}

// answerDue sends the result to the waiters whose deadline has passed.
func (r *rollout) answerDue(now time.Time, a ApplyResult) []endive.Action {
	var due, rest []waiter
	for _, w := range r.waiters {
		if now.Before(w.deadline) {
			rest = append(rest, w)
		} else {
			due = append(due, w)
		}
	}
	r.waiters = due
	actions := r.answerAll(a)
	r.waiters = rest
	return actions
}

// transaction returns the transaction that writes the ticket. The transaction
// applies only if the resources still have the versions in config and the
// number is unused.
func (r *rollout) transaction(id endive.WriteID, config *knownConfig) endive.Transaction {
	txn := endive.Transaction{WriteID: id}
	number := ticketKey(r.ticket.Number)
	row := ticketRow{Digest: r.digest, Comment: r.ticket.Comment}
	for _, res := range r.resources {
		key := configKey(res.key)
		row.Resources = append(row.Resources, res.key)
		txn.Conditions = append(txn.Conditions, endive.Condition{Key: key, Version: config.rows[res.key].Version})
		txn.Writes = append(txn.Writes, endive.Write{Key: key, Value: encodeConfigured(res.configured)})
	}
	txn.Conditions = append(txn.Conditions, endive.Condition{Key: number})
	txn.Writes = append(txn.Writes, endive.Write{Key: number, Value: row.encode()})
	return txn
}
