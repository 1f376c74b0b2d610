package endive

import "time"

// QuotaDivision divides the accounts' caps, which apply to all pools together, between the
// pools. Each pool's holder has one. It does no I/O: Update returns the transactions to write.
// The parts of all pools never sum to more than the cap, except that a pool may hold more while
// what it runs already exceeds its part, and for large tasks and gangs: see MayExceed.
type QuotaDivision interface {
	// Begin begins a tenure of the pool. Until the division knows what an earlier holder was
	// allowed, no account with a cap may use anything.
	Begin(epoch Epoch)
	// HandOver returns, at the end of a tenure, the parts that the next holder may use at once.
	HandOver() map[AccountName]Resources
	// TakeOver takes the parts that the holder of the epoch just before has handed over.
	TakeOver(parts map[AccountName]Resources)
	// SetAccounts sets the accounts of the newest configuration and the number of pools.
	SetAccounts(accounts Accounts, pools int)
	// Allowance returns what the runs of an account in this pool may use together. ok is false
	// if the account has no cap.
	Allowance(account AccountName) (allowance QuotaAllowance, ok bool)
	// Update takes what each account uses and needs in this pool; nil while that isn't known. If
	// the part of an account should change, it returns the transaction to write. Its result must
	// be passed to HandleCommitted.
	Update(now time.Time, uses map[AccountName]QuotaUse) (QuotaChange, bool)
	// HandleCommitted takes the result of a transaction and reports whether it was one of this
	// division's.
	HandleCommitted(now time.Time, result Committed) bool
	// HandleRows takes rows with the pools' parts as read from the store. complete is true if
	// they are all rows.
	HandleRows(rows []Row, complete bool)
}

// QuotaChange is a change of a pool's parts of the caps.
type QuotaChange struct {
	Transaction Transaction
	// Reason describes the change for the log.
	Reason string
}

// QuotaUse is what one account uses and needs in a pool.
type QuotaUse struct {
	// Running is what the account's runs use, with those that may still start or run.
	Running Resources
	// Waiting is what the tasks need that could start now, but for the account's allowance.
	Waiting Resources
	// Unit is the largest amount that has to start at once: a task, or all tasks of a gang.
	// Task is the need of one task of it.
	Unit, Task Resources
}

// QuotaAllowance is what the runs of an account in one pool may use together.
type QuotaAllowance struct {
	// Limit is the amount in each dimension, and Cap the account's cap over all pools. A
	// dimension whose Cap is 0 is unlimited.
	Limit, Cap Resources
	// Large is the limit for what MayExceed the cap.
	Large Resources
	// Tolerated is the cap with the overage. Nothing may be started beyond it but one task or
	// gang while no other start of the account is unconfirmed.
	Tolerated Resources
}

// For returns the allowance for starting something of the given size.
func (a QuotaAllowance) For(unit Resources) QuotaAllowance {
	if MayExceed(int64(a.Cap.Processors), int64(unit.Processors)) {
		a.Limit.Processors = a.Large.Processors
	}
	if MayExceed(int64(a.Cap.Memory), int64(unit.Memory)) {
		a.Limit.Memory = a.Large.Memory
	}
	if MayExceed(int64(a.Cap.Accelerators), int64(unit.Accelerators)) {
		a.Limit.Accelerators = a.Large.Accelerators
	}
	return a
}

// WithTolerated returns the allowance whose limit is what is tolerated and the given amount more.
func (a QuotaAllowance) WithTolerated(more Resources) QuotaAllowance {
	a.Limit = a.Tolerated.Add(more)
	return a
}

// MayExceed reports whether a task or gang may exceed a cap, within the overage and one task:
// if it needs more than half of the cap. Otherwise it could wait for ever beside tasks that last,
// though its account uses little.
func MayExceed(quota, unit int64) bool { return unit > quota/2 }

// Allows reports whether runs that use the given amount are within the allowance.
func (a QuotaAllowance) Allows(use Resources) bool { return use.limitedBy(a.Cap).Fits(a.Limit) }

// FitCount returns how many tasks with a need may start beside what already runs, at most limit.
func (a QuotaAllowance) FitCount(running, need Resources, limit int) int {
	return a.Limit.Sub(running).FitCount(need.limitedBy(a.Cap), limit)
}
