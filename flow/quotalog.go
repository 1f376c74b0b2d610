package flow

import (
	"sort"
	"strings"

	"endiveroute.example/endive"
)

func (m *Machine) logHeldBack(s *step) {
	account := s.occ.job.account
	allowance, _ := m.quotas.division.Allowance(account)
	m.logDecision(Decision{Kind: DecisionJob, Job: s.occ.job.id, Outcome: "waits for its account's cap", Reason: "account " + string(account) +
		" has " + m.quotas.use(account).running.String() + " running here, this pool's part is " + allowance.Limit.String() + ", the cap " +
		allowance.Cap.String() + "; step " + string(s.id) + " needs " + s.spec.Need.String() + " for each of " + formatInt(int64(s.waiting)) + " tasks"})
}

// heldBackAccounts returns the accounts with tasks that wait for their allowance, sorted.
func (m *Machine) heldBackAccounts() []endive.AccountName {
	var names []endive.AccountName
	for name, use := range m.quotas.uses {
		if use.heldBack {
			names = append(names, name)
		}
	}
	sort.Slice(names, func(i, j int) bool { return names[i] < names[j] })
	return names
}

// maxLoggedAccounts limits the accounts in the log line about the pool.
const maxLoggedAccounts = 5

// usageOfAccounts formats what the accounts with held back tasks use, for the log.
func (m *Machine) usageOfAccounts() string {
	names := m.heldBackAccounts()
	texts := make([]string, 0, maxLoggedAccounts)
	for _, name := range names[:min(len(names), maxLoggedAccounts)] {
		allowance, _ := m.quotas.division.Allowance(name)
		texts = append(texts, string(name)+" runs "+m.quotas.use(name).running.String()+" of "+allowance.Limit.String())
	}
	return formatInt(int64(len(names))) + " accounts wait for their caps: " + strings.Join(texts, "; ")
}
