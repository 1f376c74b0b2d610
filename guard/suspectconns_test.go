package guard

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
	"endiveroute.example/endive/fakes"
)

func TestSuspects(t *testing.T) {
	is := is.New(t)
	clock := fakes.NewClock()
	s := NewSuspectConns(endive.Interval(time.Minute))
	is.Equal(s.NotBefore("a", clock.Now()), clock.Now().Add(-time.Minute))
	marked := clock.Now()
	s.MarkSuspect("a", marked)
	clock.Advance(time.Second)
	is.Equal(s.NotBefore("a", clock.Now()), marked)
	is.Equal(s.NotBefore("b", clock.Now()), clock.Now().Add(-time.Minute))
	clock.Advance(time.Hour)
	is.Equal(s.NotBefore("a", clock.Now()), clock.Now().Add(-time.Minute)) // the maximum age excludes marked connections by now
	s.MarkSuspect("b", clock.Now())
	is.Equal(len(s.suspectSince), 1)
}
