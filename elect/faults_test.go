package elect

import (
	"flag"
	"fmt"
	"testing"
	"time"
)

// seedCount is the number of seeds that the fault test plays.
var seedCount = flag.Int("seeds", 100, "the number of seeds of the fault test")

// Calls of the store, messages and processes fail as the fields of faults say. No holder acts after the lease end that the
// next ones know, no epoch is used twice, and the pool is held soon after the faults have ended.
func TestHoldersUnderFaults(t *testing.T) {
	for seed := range uint64(*seedCount) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			w := newSimulation(t, seed, hostile, 4)
			w.run(60 * time.Second)
			w.faults = faults{}
			w.run(75 * time.Second)
			if holders := w.holders(); len(holders) != 1 || !holders[0].acts() {
				w.violate("%d entries hold the pool, 15 s after the faults", len(holders))
			}
			if len(w.begun) < 2 {
				w.violate("only %d tenures have begun", len(w.begun))
			}
			for _, violation := range w.violations {
				t.Error(violation)
			}
		})
	}
}
