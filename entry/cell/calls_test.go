package cell

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/flow"
)

// countingFleet counts the orders to start.
type countingFleet struct {
	endive.Fleet
	starts int
}

func (f *countingFleet) Start(context.Context, endive.StartOrder) (endive.OrderAnswer, error) {
	f.starts++
	return endive.OrderAnswer{}, nil
}

// A process stands still between the decision to start a task and the sending of the
// order, and workers begin to leave meanwhile: the order isn't sent any more.
func TestExpiredStartOrderIsNotSent(t *testing.T) {
	is := is.New(t)
	fleet := &countingFleet{}
	p := &pool{cell: &Cell{Deps: Deps{Clock: endive.SystemClock{}, Fleet: fleet}, ctx: t.Context()}}
	now := time.Now()
	late := (&startCall{pool: p, sendDeadline: now.Add(-time.Millisecond)}).send()
	is.Equal(late.Result, flow.OrderNotSent)
	is.Equal(fleet.starts, 0)
	inTime := (&startCall{pool: p, sendDeadline: now.Add(time.Hour)}).send()
	is.Equal(inTime.Result, flow.OrderAnswered)
	is.Equal(fleet.starts, 1)
}
