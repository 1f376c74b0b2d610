package fakes

import (
	"time"

	"google.golang.org/protobuf/proto"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// CountingMachine wraps a machine and counts its steps and actions for benchmarks.
type CountingMachine struct {
	Machine endive.Machine
	Counts  *Counts
}

// Counts holds the totals of one or more machines.
type Counts struct {
	Steps int
	// StepTime is the total wall-clock time of all steps.
	StepTime time.Duration
	// Transactions counts the Commit actions, and Writes counts the rows that
	// they write.
	Transactions, Writes int
	// Scans and Fetches count the read actions.
	Scans, Fetches int
	Messages       int
	// MessageBytes is the total size of the frames of all messages to peers.
	MessageBytes endive.Bytes
}

// Step implements endive.Machine.
func (c *CountingMachine) Step(now time.Time, event endive.Event) []endive.Action {
	began := time.Now()
	actions := c.Machine.Step(now, event)
	c.Counts.StepTime += time.Since(began)
	c.Counts.Steps++
	for _, action := range actions {
		c.Counts.count(action)
	}
	return actions
}

func (c *Counts) count(action endive.Action) {
	switch a := action.(type) {
	case endive.Commit:
		c.Transactions++
		c.Writes += len(a.Transaction.Writes)
	case endive.Scan:
		c.Scans++
	case endive.Fetch:
		c.Fetches++
	case endive.Send:
		c.Messages++
		c.MessageBytes += endive.Bytes(proto.Size(wire.Wrap(a.Message)))
	}
}
