package share

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// An account that sends ten times its weight for three seconds keeps its weight, and an account
// within its weight loses nothing.
func TestRate(t *testing.T) {
	is := is.New(t)
	r := NewRate()
	hot, usual := endive.Account{Name: "hot", Weight: 5}, endive.Account{Name: "usual", Weight: 5}
	start := time.Unix(0, 0)
	within := 0
	for i := range 150 {
		at := start.Add(time.Duration(i) * 20 * time.Millisecond)
		if !r.BeyondShare(hot, at) {
			within++
		}
		if i%15 == 0 {
			is.True(!r.BeyondShare(usual, at))
		}
	}
	is.True(within >= 15 && within <= 20)
	is.True(!r.BeyondShare(hot, start.Add(10*time.Second))) // idle meanwhile
	is.True(r.BeyondShare(endive.Account{Name: "small", Weight: 0.1}, start) == false)
	is.True(!r.BeyondShare(endive.Account{Name: "none"}, start))
}
