package route

import (
	"fmt"
	"math/rand"

	"endiveroute.example/endive"
)

// TwoChoices is a Router that draws two candidates at random and takes the one
// with more free slots.
type TwoChoices struct {
	random *rand.Rand
}

// NewTwoChoices returns a router that draws from a random generator with the
// given seed.
func NewTwoChoices(seed int64) *TwoChoices {
	return &TwoChoices{random: rand.New(rand.NewSource(seed))}
}

// Choose implements endive.Router.
func (t *TwoChoices) Choose(candidates endive.Candidates) (int, string) {
	if len(candidates) == 0 {
		return -1, "no executor has a free slot"
	}
	i, j := t.random.Intn(len(candidates)), t.random.Intn(len(candidates))
	if candidates[j].Free > candidates[i].Free {
		i = j
	}
	return i, fmt.Sprintf("%d slots free, the most of two", candidates[i].Free)
}
