package fakes

import (
	"context"
	"errors"
	"time"

	"endiveroute.example/endive"
)

// Node runs a machine of one entry, with a clock that runs up to 1 % fast or slow.
type Node struct {
	ID          endive.EntryID
	Incarnation endive.Incarnation
	Machine     endive.Machine
	// Up is false after the simulated process has exited.
	Up bool
	// Partitioned cuts the node off from the table and from all nodes that aren't
	// partitioned.
	Partitioned bool

	simulation  *Simulation
	startTime   time.Time
	clockRate   float64
	pausedUntil time.Time
	wakeNumber  uint64
}

// Now returns the time by the node's own clock.
func (n *Node) Now() time.Time {
	return n.startTime.Add(time.Duration(float64(n.simulation.now.Sub(n.startTime)) * n.clockRate))
}

// Pause suspends the process for a duration of simulated time; its clock keeps running.
func (n *Node) Pause(duration time.Duration) { n.pausedUntil = n.simulation.now.Add(duration) }

// Paused reports whether the process is suspended.
func (n *Node) Paused() bool { return n.simulation.now.Before(n.pausedUntil) }

// Deliver passes an event to the machine after a delay of simulated time and executes
// the resulting actions.
func (n *Node) Deliver(after time.Duration, event endive.Event) {
	n.simulation.At(after, func() { n.step(event) })
}

// unreachableFrom reports whether a partition separates the node from another
// one.
func (n *Node) unreachableFrom(other *Node) bool { return n.Partitioned != other.Partitioned }

// step passes an event to the machine and executes the resulting actions. If the process
// is suspended, the event is delivered when it resumes.
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

// execute executes one action of the machine.
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

// tableUnavailable reports whether an operation on the table fails, at random too.
func (n *Node) tableUnavailable() bool {
	return n.simulation.TableDown || n.Partitioned || n.simulation.randomPercent(n.simulation.Faults.Unavailable)
}

// scan reads the changes under a prefix after a delay, and delivers them after
// another delay.
func (n *Node) scan(a endive.Scan) {
	n.simulation.At(n.simulation.delay(), func() {
		event := endive.Scanned{Prefix: a.Prefix, After: a.After, Unavailable: n.tableUnavailable()}
		if !event.Unavailable {
			event.Changes, _ = n.simulation.Table.Scan(context.Background(), a.Prefix, a.After)
		}
		n.Deliver(n.simulation.delay(), event)
	})
}

// fetch reads rows after a delay, and delivers them after another delay.
func (n *Node) fetch(a endive.Fetch) {
	n.simulation.At(n.simulation.delay(), func() {
		event := endive.Fetched{Keys: a.Keys, Unavailable: n.tableUnavailable()}
		if !event.Unavailable {
			event.Rows, _ = n.simulation.Table.Read(context.Background(), a.Keys...)
		}
		n.Deliver(n.simulation.delay(), event)
	})
}

// commit applies a transaction. If the response is lost, the machine first receives
// CommitUnknown, and the resolved status later.
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

// applyCommit applies the transaction, unless the table can't be reached or, for half of
// the lost responses, the transaction itself was lost. It then reports the status.
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

// reportCommit delivers the status of a transaction as soon as the table can be reached.
func (n *Node) reportCommit(event endive.Committed) {
	n.simulation.At(n.simulation.delay(), func() {
		if n.simulation.TableDown || n.Partitioned {
			n.reportCommit(event)
			return
		}
		n.Deliver(0, event)
	})
}

// apply commits a transaction to the table and returns its status.
func (g *Simulation) apply(txn endive.Transaction) endive.Committed {
	result, err := g.Table.Commit(context.Background(), txn)
	var conflict *endive.ConflictError
	if errors.As(err, &conflict) {
		return endive.Committed{WriteID: txn.WriteID, Status: endive.CommitConflict, Conflicts: conflict.Rows}
	}
	return endive.Committed{WriteID: txn.WriteID, Status: endive.CommitApplied, Result: result}
}
