package fakes

import (
	"time"

	"google.golang.org/protobuf/proto"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// CountingMachine is a machine that counts what another one does and asks for. It is for
// benchmarks.
type CountingMachine struct {
	Machine endive.Machine
	Counts  *Counts
}

// Counts is what one or more machines did and asked for.
type Counts struct {
	Steps int
	// StepTime is the time of all steps by the system's clock.
	StepTime time.Duration
	// Transactions and Writes are those asked for: a write is one row.
	Transactions, Writes int
	// Scans and Fetches are reads asked for.
	Scans, Fetches int
	Messages       int
	// MessageBytes is the length of all frames of messages to peers.
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
