package quota

import (
	"time"

	"endiveroute.example/endive"
)

// Fixed gives each pool the same part of each cap. It needs no messages, but what one pool
// doesn't use isn't available to the others. It implements endive.QuotaDivision.
type Fixed struct {
	accounts endive.Accounts
	pools    int
}

// NewFixed returns a division without accounts.
func NewFixed() *Fixed { return &Fixed{pools: 1} }

// Begin implements endive.QuotaDivision.
func (f *Fixed) Begin(endive.Epoch) {}

// HandOver implements endive.QuotaDivision.
func (f *Fixed) HandOver() map[endive.AccountName]endive.Resources { return nil }

// TakeOver implements endive.QuotaDivision.
func (f *Fixed) TakeOver(map[endive.AccountName]endive.Resources) {}

// SetAccounts implements endive.QuotaDivision.
func (f *Fixed) SetAccounts(accounts endive.Accounts, pools int) {
	f.accounts, f.pools = accounts, max(1, pools)
}

// Allowance implements endive.QuotaDivision.
func (f *Fixed) Allowance(name endive.AccountName) (endive.QuotaAllowance, bool) {
	account, ok := f.accounts.Named(name)
	if !ok || account.Cap == (endive.Resources{}) {
		return endive.QuotaAllowance{}, false
	}
	part := amountsOf(account.Cap)
	for i := range part {
		part[i] /= int64(f.pools)
	}
	return endive.QuotaAllowance{Limit: part.resources(), Large: part.resources(), Cap: account.Cap, Tolerated: account.Cap}, true
}

// Update implements endive.QuotaDivision.
func (f *Fixed) Update(time.Time, map[endive.AccountName]endive.QuotaUse) (endive.QuotaChange, bool) {
	return endive.QuotaChange{}, false
}

// HandleCommitted implements endive.QuotaDivision.
func (f *Fixed) HandleCommitted(time.Time, endive.Committed) bool { return false }

// HandleRows implements endive.QuotaDivision.
func (f *Fixed) HandleRows([]endive.Row, bool) {}
