package flow

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// An idle pool without caps has nothing to divide: its holder must not wake for that.
func TestIdleHolderRarelyWakes(t *testing.T) {
	const seconds = 10
	tests := []struct {
		name string
		cap  endive.Resources
		most uint64
	}{
		// The wake-ups of each second, and a poll with its answer.
		{"no cap", endive.Resources{}, seconds * 4},
		{"cap", endive.Resources{Processors: 1000}, seconds * uint64(time.Second/quotaInterval+4)},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			w := newSimulation(t, 1, faults{})
			w.accounts, _ = endive.NewAccounts([]endive.Account{{Name: "a", Cap: tt.cap}})
			w.addWorkers(1)
			h := w.startHolder()
			w.run(5 * time.Second)
			before := h.machine.stepCount
			w.run((5 + seconds) * time.Second)
			is.True(h.machine.stepCount-before <= tt.most)
		})
	}
}
