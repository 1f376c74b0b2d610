package flow

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// A gang whose members reserve nothing fitted on workers for which its tickets had expired.
func TestGangStartsWithExpiredTickets(t *testing.T) {
	is := is.New(t)
	w, h := newSimulationWithHolder(t, faults{}, 2)
	gang := stepOfTasks(2, time.Second)
	gang.Need, gang.Gang, gang.Opportunistic = endive.Resources{Processors: 1000}, true, true
	gang.MaxPerWorker = 1
	w.submit("gang", gangQueue, gang)
	w.run(1010 * time.Millisecond)
	m := h.machine
	s := m.findStep("gang.0.0")
	s.tickets.add([]endive.AdviceGrant{{Worker: "w0", Ticket: "valid"}}, nil, m.now.Add(time.Second))
	s.tickets.add([]endive.AdviceGrant{{Worker: "w1", Ticket: "expired"}}, nil, m.now)
	is.Equal(len(m.chooseGang(s)), 0) // the members need both workers
}
