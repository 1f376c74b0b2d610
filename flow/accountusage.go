package flow

import (
	"cmp"
	"slices"

	"endiveroute.example/endive"
)

// AccountsUsed reports what the client accounts use in the pool, for the metrics. It is empty at
// the end of a tenure.
type AccountsUsed struct {
	// Accounts are the accounts that use most, Others the sum of all other accounts.
	Accounts []AccountUsage
	Others   AccountUsage
}

// AccountUsage is what one account uses in the pool.
type AccountUsage struct {
	// Account is empty for the sum of several accounts.
	Account endive.AccountName
	// Running is what the account's runs use, with those that may still start or run. Waiting is
	// what its tasks need that could start now, but for the account's cap or for tickets.
	Running, Waiting endive.Resources
	// Limit is the pool's part of the account's Cap. Both are zero if the account has no cap.
	Limit, Cap endive.Resources
}

// IsAction marks AccountsUsed as an action.
func (AccountsUsed) IsAction() {}

// maxReportedAccounts limits the accounts that AccountsUsed has separately.
const maxReportedAccounts = 5

// reportAccounts reports what the accounts use in the pool.
func (m *Machine) reportAccounts() {
	if !m.accounts.Required() {
		return
	}
	usages := m.accountUsages()
	report := AccountsUsed{Accounts: usages[:min(len(usages), maxReportedAccounts)]}
	for _, one := range usages[len(report.Accounts):] {
		report.Others.Running = report.Others.Running.Add(one.Running)
		report.Others.Waiting = report.Others.Waiting.Add(one.Waiting)
	}
	m.emit(report)
}

// accountUsages returns what each account uses that uses or waits for anything, those that use
// most first.
func (m *Machine) accountUsages() []AccountUsage {
	usages := make([]AccountUsage, 0, len(m.quotas.uses))
	for name, use := range m.quotas.uses {
		one := AccountUsage{Account: name, Running: use.current(endive.Resources{}), Waiting: use.waiting}
		if one.Running == (endive.Resources{}) && one.Waiting == (endive.Resources{}) {
			continue
		}
		if allowance, limited := m.quotas.division.Allowance(name); limited {
			one.Limit, one.Cap = allowance.Limit, allowance.Cap
		}
		usages = append(usages, one)
	}
	slices.SortFunc(usages, AccountUsage.compare)
	return usages
}

// compare orders accounts by what they use, the largest first, then by what they wait for and by
// their names.
func (u AccountUsage) compare(o AccountUsage) int {
	return cmp.Or(
		cmp.Compare(o.Running.Processors, u.Running.Processors),
		cmp.Compare(o.Running.Accelerators, u.Running.Accelerators),
		cmp.Compare(o.Running.Memory, u.Running.Memory),
		cmp.Compare(o.Waiting.Processors, u.Waiting.Processors),
		cmp.Compare(u.Account, o.Account),
	)
}
