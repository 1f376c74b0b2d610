package fakes

import (
	"context"
	"errors"
	"time"

	"endiveroute.example/endive"
)

// Node is a machine of one entry, with a clock of its own speed.
type Node struct {
	ID          endive.EntryID
	Incarnation endive.Incarnation
	Machine     endive.Machine
	// Up is false once the process has ended.
	Up bool
	// Partitioned says that the node reaches neither the table nor a node that isn't
	// cut.
	Partitioned bool

	simulation       *Simulation
	startTime   time.Time
	clockRate   float64
	pausedUntil time.Time
	wakeNumber  uint64
}

// Now returns the time by the node's own clock.
func (n *Node) Now() time.Time {
	return n.startTime.Add(time.Duration(float64(n.simulation.now.Sub(n.startTime)) * n.clockRate))
}

// Pause stops the process for a while of true time; its clock goes on.
func (n *Node) Pause(duration time.Duration) { n.pausedUntil = n.simulation.now.Add(duration) }

// Paused reports whether the process is stopped.
func (n *Node) Paused() bool { return n.simulation.now.Before(n.pausedUntil) }

// Deliver gives the machine an event after a while of true time, and carries out
// the actions.
func (n *Node) Deliver(after time.Duration, event endive.Event) {
	n.simulation.At(after, func() { n.step(event) })
}

// unreachableFrom reports whether no message gets from n to o.
func (n *Node) unreachableFrom(other *Node) bool { return n.Partitioned != other.Partitioned }

// step gives the machine an event as soon as the process runs.
func (n *Node) step(event endive.Event) {
	if !n.Up {
		return
	}
	if n.Paused() {
		n.Deliver(n.pausedUntil.Sub(n.simulation.now), event)
		return
	}
	for _, action := range n.Machine.Step(n.Now(), event) {
		n.execute(action)
	}
	if n.simulation.After != nil {
		n.simulation.After()
	}
}

// execute carries out an action.
func (n *Node) execute(action endive.Action) {
	switch a := action.(type) {
	case endive.SetWake:
		n.wakeNumber++
		number := n.wakeNumber
		wait := time.Duration(float64(a.At.Sub(n.Now()))/n.clockRate) + time.Microsecond
		n.simulation.At(max(wait, 0), func() {
			if number == n.wakeNumber {
				n.step(endive.Wake{})
			}
		})
	case endive.Send:
		n.simulation.send(n, a)
	case endive.Scan:
		n.scan(a)
	case endive.Fetch:
		n.fetch(a)
	case endive.Commit:
		n.commit(a)
	default:
		n.simulation.HandleAction(n, action)
	}
}

// tableUnavailable reports whether the table doesn't answer now.
func (n *Node) tableUnavailable() bool {
	return n.simulation.TableDown || n.Partitioned || n.simulation.randomPercent(n.simulation.Faults.Unavailable)
}

// scan reads the table once, and answers later.
func (n *Node) scan(a endive.Scan) {
	n.simulation.At(n.simulation.delay(), func() {
		event := endive.Scanned{Prefix: a.Prefix, After: a.After, Unavailable: n.tableUnavailable()}
		if !event.Unavailable {
			event.Changes, _ = n.simulation.Table.Scan(context.Background(), a.Prefix, a.After)
		}
		n.Deliver(n.simulation.delay(), event)
	})
}

// fetch reads rows once, and answers later.
func (n *Node) fetch(a endive.Fetch) {
	n.simulation.At(n.simulation.delay(), func() {
		event := endive.Fetched{Keys: a.Keys, Unavailable: n.tableUnavailable()}
		if !event.Unavailable {
			event.Rows, _ = n.simulation.Table.Read(context.Background(), a.Keys...)
		}
		n.Deliver(n.simulation.delay(), event)
	})
}

// commit writes to the table. Where the answer is lost, the client says so, and
// finds out later what became of the transaction.
func (n *Node) commit(a endive.Commit) {
	id := a.Transaction.WriteID
	lost := n.simulation.randomPercent(n.simulation.Faults.LostResponse)
	n.simulation.At(n.simulation.delay(), func() {
		if n.tableUnavailable() && !lost {
			n.Deliver(n.simulation.delay(), endive.Committed{WriteID: id, Status: endive.CommitUnavailable})
			return
		}
		if lost {
			n.Deliver(0, endive.Committed{WriteID: id, Status: endive.CommitUnknown})
		}
		n.simulation.At(n.simulation.delay(), func() { n.applyCommit(a.Transaction, lost) })
	})
}

// applyCommit writes the transaction, or not where its answer is lost, and tells what
// became of it as soon as the table is reached.
func (n *Node) applyCommit(txn endive.Transaction, lost bool) {
	event := endive.Committed{WriteID: txn.WriteID, Status: endive.CommitUnavailable}
	switch {
	case lost && n.simulation.randomPercent(50):
	case n.simulation.TableDown, n.Partitioned:
	default:
		event = n.simulation.apply(txn)
	}
	n.reportCommit(event)
}

// reportCommit gives the machine the status of a transaction once the table is reached.
func (n *Node) reportCommit(event endive.Committed) {
	n.simulation.At(n.simulation.delay(), func() {
		if n.simulation.TableDown || n.Partitioned {
			n.reportCommit(event)
			return
		}
		n.Deliver(0, event)
	})
}

// apply writes a transaction to the table.
func (g *Simulation) apply(txn endive.Transaction) endive.Committed {
	result, err := g.Table.Commit(context.Background(), txn)
	var conflict *endive.ConflictError
	if errors.As(err, &conflict) {
		return endive.Committed{WriteID: txn.WriteID, Status: endive.CommitConflict, Conflicts: conflict.Rows}
	}
	return endive.Committed{WriteID: txn.WriteID, Status: endive.CommitApplied, Result: result}
}
