package endive_test

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

func ExampleEpoch_AfterRestarts() {
	tenure := endive.Epoch(5).NextTenure() // the lease of the former holder had epoch 5
	fmt.Println(tenure, tenure.AfterRestarts(0), tenure.AfterRestarts(1))
	// Output: 37 6 7
}

// All epochs of a tenure are higher than those of the one before, and than the lease of an earlier build, and lower than
// those of the next one, also if that has only one epoch, as with an earlier build.
func TestEpochsOfTenuresOverlap(t *testing.T) {
	is := is.New(t)
	for former := range endive.Epoch(100) {
		tenure := former.NextTenure()
		previous := former
		for n := range int(endive.EpochsPerTenure) {
			epoch := tenure.AfterRestarts(n)
			is.True(epoch > previous)
			previous = epoch
		}
		is.Equal(previous, tenure)
		is.Equal(tenure.AfterRestarts(1000), tenure)
		is.True(tenure.NextTenure().AfterRestarts(0) > tenure)
	}
}
