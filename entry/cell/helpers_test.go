package cell

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/wire"
)

// An answer to an earlier run of this entry, from whom that run had asked, doesn't
// end the waiting for another's; and no run uses the tags of an earlier one.
func TestAnswerOfAnotherEntry(t *testing.T) {
	is := is.New(t)
	c := &Cell{Deps: Deps{Clock: endive.SystemClock{}}}
	h := newHelpers(c)
	asked := &helped{helpers: h, tag: 5, to: "entry-2", timer: time.AfterFunc(time.Hour, func() {})}
	h.waiting[5] = asked
	h.answered("entry-3", &wire.AdviceAnswer{Tag: 5, Answered: true})
	is.Equal(h.waiting[5], asked)
	is.Equal(h.take(5, "entry-2"), asked)
	is.Equal(len(h.waiting), 0)
	is.True(newHelpers(c).last > h.last)
	is.True(newRelays(c).last > h.last)
}
