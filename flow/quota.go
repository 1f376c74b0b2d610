package flow

import (
	"time"

	"endiveroute.example/endive"
)

// An account's cap limits what it runs in all pools together. The division of the caps gives
// this pool a part of each. Tasks beyond it wait without holding up others: no advice is
// requested for them, no capacity is reserved, and nothing is preempted. Hot accounts hand in
// far more than they may run, so this must cost little.

// AccountsChanged has the accounts of the newest configuration and the number of its pools.
type AccountsChanged struct {
	Accounts endive.Accounts
	Pools    int
}

// IsEvent marks AccountsChanged as an event.
func (AccountsChanged) IsEvent() {}

// QuotaRowsRead has rows with the pools' parts of the caps.
type QuotaRowsRead struct {
	Rows []endive.Row
	// Complete is true if there are no other rows.
	Complete bool
}

// IsEvent marks QuotaRowsRead as an event.
func (QuotaRowsRead) IsEvent() {}

// quotaInterval is the time between two updates of the division of the caps while no event
// requires one.
const quotaInterval = 50 * time.Millisecond

// quotas is what the accounts use and need in the pool.
type quotas struct {
	division endive.QuotaDivision
	uses     map[endive.AccountName]*accountUse
	// unknown is what runs use whose account isn't known. It counts for each account.
	unknown endive.Resources
	// due is true if the division has to be updated now, and updateAt when it has to be at the
	// latest; zero while no account has a cap.
	due      bool
	updateAt time.Time
}

// accountUse is what one account uses and needs in the pool.
type accountUse struct {
	// running is what the account's runs use, from the order to start until the end.
	running endive.Resources
	// possible is what tasks use that may run on workers that haven't answered in this tenure;
	// unrecorded is that on workers whose tasks aren't known.
	possible, unrecorded endive.Resources
	// reserved is what gangs of the account wait for in the current scheduling pass. Tasks of
	// the account that come later must not use it.
	reserved endive.Resources
	// waiting, unit and task are the needs for the division, from the current pass.
	waiting, unit, task endive.Resources
	// heldBack is true if tasks wait for the account's allowance.
	heldBack bool
}

// current returns what the account uses or may use, from its own runs and the unknown ones.
func (u *accountUse) current(unknown endive.Resources) endive.Resources {
	return u.running.Add(u.possible).Add(u.unrecorded).Add(unknown)
}

// total returns what counts against the account's allowance.
func (u *accountUse) total(unknown endive.Resources) endive.Resources {
	return u.current(unknown).Add(u.reserved)
}

// use returns the record of an account.
func (q *quotas) use(name endive.AccountName) *accountUse {
	use := q.uses[name]
	if use == nil {
		use = &accountUse{}
		q.uses[name] = use
	}
	return use
}

// count adds a run to what its account uses, or takes it away if delta is -1. The account of a run
// whose task isn't known isn't known either.
func (q *quotas) count(r *run, delta int64) {
	if r.spec == nil {
		q.unknown = q.unknown.Add(r.need.Times(delta))
		return
	}
	if r.account != "" {
		use := q.use(r.account)
		use.running = use.running.Add(r.spec.Need.Times(delta))
	}
}

// beginPass resets what a scheduling pass determines anew.
func (q *quotas) beginPass() {
	for name, use := range q.uses {
		*use = accountUse{running: use.running}
		if use.running == (endive.Resources{}) {
			delete(q.uses, name)
		}
	}
	q.due = true
}

// allowedStarts returns how many of the given number of tasks of a step may start within the
// allowance of the step's account. A gang may start only whole. What is tolerated above the cap
// may be exceeded by one task or gang, if no other start of the account can come after it.
func (m *Machine) allowedStarts(s *step, count int) int {
	account := s.occ.job.account
	if account == "" {
		return count
	}
	allowance, limited := m.quotas.division.Allowance(account)
	if !limited {
		return count
	}
	running, unit := m.quotas.use(account).total(m.quotas.unknown), s.spec.Unit()
	allowed := allowance.For(unit).FitCount(running, s.spec.Need, count)
	if s.spec.Gang && allowed < s.spec.Tasks {
		return 0
	}
	tolerated := allowance.WithTolerated(endive.Resources{})
	if allowed == 0 || tolerated.Allows(running.Add(s.spec.Need.Times(int64(allowed)))) {
		return allowed
	}
	if within := tolerated.FitCount(running, s.spec.Need, allowed); within > 0 && !s.spec.Gang {
		return within
	}
	if !allowance.WithTolerated(s.spec.Need).Allows(running.Add(unit)) || m.hasUnconfirmedStarts(account) {
		return 0
	}
	if s.spec.Gang {
		return allowed
	}
	return 1
}

// hasUnconfirmedStarts reports whether a start of an account's run may still be carried out.
func (m *Machine) hasUnconfirmedStarts(account endive.AccountName) bool {
	for _, w := range m.sortedWorkers {
		for _, r := range w.runs {
			if r.account == account && (r.state == runStarting || r.inFlight || r.startUnconfirmed) {
				return true
			}
		}
	}
	return false
}

// reserveAllowance keeps the account's allowance for a gang that waits for tickets on workers
// that are reserved for it.
func (m *Machine) reserveAllowance(s *step) {
	if s.gang.reservedWorkers == nil || s.occ.job.account == "" {
		return
	}
	use := m.quotas.use(s.occ.job.account)
	use.reserved = use.reserved.Add(s.spec.Unit())
}

// holdBack records that tasks of a step wait for the account's allowance. It counts as a need
// for which the division should make room only if the pool has free capacity.
func (m *Machine) holdBack(s *step, tasks int) {
	use := m.quotas.use(s.occ.job.account)
	use.heldBack = true
	if s.spec.Gang {
		use.reserved = use.reserved.Add(s.spec.Unit())
		s.gang.reservedWorkers, s.gang.drainedWorkers = nil, nil
	}
	if !s.heldBack {
		s.heldBack = true
		m.logHeldBack(s)
	}
	m.countWaiting(s, tasks)
}

// countWaiting counts tasks of a step that could start now, but for the account's allowance or
// for tickets. The part of the account must not be given up while they wait for tickets.
func (m *Machine) countWaiting(s *step, tasks int) {
	if s.occ.job.account == "" {
		return
	}
	if s.spec.Gang {
		tasks = s.spec.Tasks
	}
	places := m.advice.freeCapacity.FitCount(s.spec.Reserved(), tasks)
	if places == 0 || s.spec.Gang && places < tasks {
		return
	}
	use := m.quotas.use(s.occ.job.account)
	use.waiting = use.waiting.Add(s.spec.Need.Times(int64(places)))
	use.unit, use.task = use.unit.Max(s.spec.Unit()), use.task.Max(s.spec.Need)
}

// updateQuotas updates the division of the caps if that is due.
func (m *Machine) updateQuotas() {
	if !m.quotas.due && (m.quotas.updateAt.IsZero() || m.now.Before(m.quotas.updateAt)) {
		return
	}
	m.quotas.due, m.quotas.updateAt = false, time.Time{}
	if m.accounts.HaveCap() {
		m.quotas.updateAt = m.now.Add(quotaInterval)
	}
	m.countPossibleRuns()
	uses := make(map[endive.AccountName]endive.QuotaUse, len(m.quotas.uses))
	for name, use := range m.quotas.uses {
		uses[name] = endive.QuotaUse{
			Running: use.current(m.quotas.unknown), Waiting: use.waiting, Unit: use.unit, Task: use.task,
		}
	}
	m.updateDivision(uses)
}

// updateDivision passes the uses to the division; nil while they aren't known.
func (m *Machine) updateDivision(uses map[endive.AccountName]endive.QuotaUse) {
	if change, ok := m.quotas.division.Update(m.now, uses); ok {
		m.logDecision(Decision{Kind: DecisionQuota, Outcome: "changed", Reason: change.Reason})
		m.emit(Commit{Transaction: change.Transaction})
	}
}
