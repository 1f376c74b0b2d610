package flow

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// An account sends many times its weight into a pool that is full of it. The other account's
// work, and what the first one sends within its weight, must be on time.
func TestHotAccount(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 1, faults{})
	w.accounts, _ = endive.NewAccounts([]endive.Account{{Name: "hot", Weight: 2}, {Name: "usual", Weight: 2}})
	w.addWorkers(6)
	w.startHolder()
	w.run(time.Second)
	var usual, hot []endive.JobID
	for i := range 200 {
		w.run(time.Second + time.Duration(i)*40*time.Millisecond)
		hot = append(hot, w.submitFor("hot", fmt.Sprintf("hot%d", i), urgentQueue, stepOfTasks(6, 900*time.Millisecond)))
		if i%20 == 0 {
			usual = append(usual, w.submitFor("usual", fmt.Sprintf("usual%d", i), urgentQueue, stepOfTasks(6, 900*time.Millisecond)))
		}
	}
	w.run(time.Second + 200*40*time.Millisecond + 3*time.Second)
	w.checkViolations()
	for _, id := range usual {
		is.Equal(w.state(id), endive.WorkflowSucceeded)
	}
	done := 0
	for _, id := range hot {
		if w.state(id) == endive.WorkflowSucceeded {
			done++
		}
	}
	is.True(done >= 16) // 2 a second for 8 seconds
}
