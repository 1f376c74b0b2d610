package fleet

import (
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/fakes"
	"endiveroute.example/endive/insts"
	"endiveroute.example/endive/stand/fault"
	"endiveroute.example/endive/stand/serve"
)

func TestLag(t *testing.T) {
	is := is.New(t)
	clock := fakes.NewClock()
	faults := fault.NewSet(fault.Fault{Kind: fault.Lag, Delay: endive.Interval(3 * time.Second)})
	list := New(clock, faults, fault.Target{Part: fault.Instances})
	list.Put(endive.Instance{ID: "quote-1", Kind: endive.KindExecutor})
	list.ResetHistory()
	listed := func() []endive.Instance {
		var answer insts.List
		is.NoErr(json.Unmarshal(list.Handle(t.Context(), serve.Request{Method: "GET", Path: "/v1/instances"}).Body, &answer))
		return answer.Instances
	}
	is.Equal(len(listed()), 1) // ResetHistory hides the time before Put
	list.SetLeaving("quote-1", true)
	clock.Advance(2 * time.Second)
	is.True(!listed()[0].Leaving)
	list.Remove("quote-1")
	clock.Advance(time.Second)
	is.True(listed()[0].Leaving)
	clock.Advance(2 * time.Second)
	is.Equal(len(listed()), 0)
}
