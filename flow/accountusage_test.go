package flow

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"endiveroute.example/endive"
)

// reportedAccounts returns what the holder reports about the accounts now.
func reportedAccounts(h *holder) AccountsUsed {
	h.machine.actions = nil
	h.machine.reportAccounts()
	report, _ := h.machine.actions[0].(AccountsUsed)
	h.machine.actions = nil
	return report
}

func TestReportOfAccounts(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 1, faults{})
	accounts := []endive.Account{{Name: "capped", Weight: 9, Cap: endive.Resources{Processors: 12000}}}
	for i := range 6 {
		accounts = append(accounts, endive.Account{Name: endive.AccountName(fmt.Sprintf("free%d", i)), Weight: 9})
	}
	w.accounts, _ = endive.NewAccounts(accounts)
	w.addWorkers(8)
	h := w.startHolder()
	w.run(time.Second)
	w.submitFor("capped", "c", urgentQueue, stepOfTasks(6, 3*time.Second))
	for i := range 6 {
		w.submitFor(accounts[i+1].Name, fmt.Sprintf("f%d", i), urgentQueue, stepOfTasks(max(1, i), 3*time.Second))
	}
	w.run(3 * time.Second)
	report := reportedAccounts(h)
	is.Equal(len(report.Accounts), maxReportedAccounts)
	capped := AccountUsage{
		Account: "capped", Running: stepOfTasks(4, 0).Need.Times(4), Waiting: stepOfTasks(2, 0).Need.Times(2),
		Limit: endive.Resources{Processors: 12000}, Cap: endive.Resources{Processors: 12000},
	}
	is.Equal(report.Accounts[0], AccountUsage{Account: "free5", Running: stepOfTasks(5, 0).Need.Times(5)})
	is.Equal(report.Accounts[1], capped) // 4 of 6 tasks run
	is.Equal(report.Accounts[2].Account, endive.AccountName("free4"))
	is.Equal(report.Others, AccountUsage{Running: stepOfTasks(2, 0).Need.Times(2)}) // of free0 and free1
	w.run(20 * time.Second)
	is.Equal(reportedAccounts(h), AccountsUsed{Accounts: []AccountUsage{}})
}

func TestReportOfAccountsWithoutAccounts(t *testing.T) {
	is := is.New(t)
	w := newSimulation(t, 1, faults{})
	h := w.startHolder()
	w.run(time.Second)
	h.machine.reportAccounts()
	is.Equal(len(h.machine.actions), 0)
}

// A former holder must not go on reporting what it knew last.
func TestReportOfAccountsAfterTheTenure(t *testing.T) {
	tests := []struct {
		name string
		end  func(*Machine)
	}{
		{"lost", func(m *Machine) { m.endTenure(TenureEnded{}) }},
		{"fenced", func(m *Machine) { m.handleFenced("a worker") }},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			is := is.New(t)
			h := newSimulation(t, 1, faults{}).startHolder()
			h.sim.run(time.Second)
			h.machine.actions = nil
			tt.end(h.machine)
			last := h.machine.actions[len(h.machine.actions)-1]
			is.Equal(last, AccountsUsed{})
		})
	}
}
