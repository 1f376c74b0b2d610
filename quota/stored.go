package quota

import (
	"time"

	"endiveroute.example/endive"
)

// Stored keeps each pool's parts of the caps in a row of the store, which only the pool's
// holder writes. Transactions in which a part grows follow one another: each is conditional on
// having read the one before, so the parts never sum to more than the cap. A smaller part is in
// force here before it is written, a larger one only once it has been. A holder that needs more
// than its part writes that into its row; the other holders then give up what they don't need, or
// what exceeds an equal share. Stored implements endive.QuotaDivision.
type Stored struct {
	pool     endive.PoolName
	writeIDs *endive.WriteIDs
	// overage is the share of a cap by which a large task or gang may exceed it.
	overage  float64
	accounts endive.Accounts
	pools    int

	epoch endive.Epoch
	// handedOver are the parts that the previous holder handed over.
	handedOver map[endive.AccountName]amounts
	// begun is true once this holder's epoch is in the pool's row: then no earlier holder can
	// change the row any more.
	begun bool
	// known is true once all pools' rows have been read in this tenure.
	known bool
	rows  map[endive.PoolName]partsRow
	// growth is the version of the growth row up to which rows is complete. No part grows
	// before it has reached growthSeen, the newest version that the store has reported.
	growth, growthSeen endive.Version
	// ceilings are the limits for starts while other pools want more than is left; they are in
	// force before the smaller parts are written.
	ceilings map[endive.AccountName]amounts
	inFlight *pendingParts
	// lowest is the smallest of the parts in this pool's row and in the transactions without a
	// definite result; nil if there are none. answerLost is true if the answer to one of them
	// was lost, so that it may still be applied.
	lowest     map[endive.AccountName]amounts
	answerLost bool
	// writeAt is the earliest time of the next write, and growAt that of the next larger part.
	writeAt, growAt time.Time
}

const (
	// writeInterval is the minimum time between two writes, so that one write has the changes
	// of many accounts.
	writeInterval = 40 * time.Millisecond
	// growInterval is the minimum time between two writes of larger parts. It leaves the holders
	// of other pools time to read the last one and to write theirs, also from another region.
	growInterval = 120 * time.Millisecond
	// retryDelay is the pause after a failed write.
	retryDelay = 150 * time.Millisecond
	// headroomShare is the divisor that gives, from a cap, how much more than it needs a pool
	// takes, and the unit in which needs are written.
	headroomShare = 16
)

// NewStored returns the division of a pool that isn't held yet.
func NewStored(pool endive.PoolName, writeIDs *endive.WriteIDs, overage float64) *Stored {
	s := &Stored{pool: pool, writeIDs: writeIDs, overage: overage, pools: 1}
	s.Begin(0)
	return s
}

// Begin implements endive.QuotaDivision.
func (s *Stored) Begin(epoch endive.Epoch) {
	s.epoch, s.begun, s.known, s.handedOver = epoch, false, false, nil
	s.rows, s.growth, s.growthSeen = make(map[endive.PoolName]partsRow), 0, 0
	s.ceilings = make(map[endive.AccountName]amounts)
	s.inFlight, s.lowest, s.answerLost = nil, nil, false
	s.writeAt, s.growAt = time.Time{}, time.Time{}
}

// HandOver implements endive.QuotaDivision. A transaction that may still be applied can leave
// less in the row than is known. After a takeover the row may have more than the other pools leave, because of
// what earlier holders may have started.
func (s *Stored) HandOver() map[endive.AccountName]endive.Resources {
	if !s.begun {
		return nil
	}
	handedOver := make(map[endive.AccountName]endive.Resources)
	for name := range s.rows[s.pool].Parts {
		if account, ok := s.accounts.Named(name); ok {
			others, _, _ := s.others(name)
			handedOver[name] = s.part(name).leftBy(others, account.Cap).resources()
		}
	}
	return handedOver
}

// TakeOver implements endive.QuotaDivision. The previous holder writes nothing more, so its parts
// hold until this holder's epoch is in the row.
func (s *Stored) TakeOver(handedOver map[endive.AccountName]endive.Resources) {
	s.handedOver = make(map[endive.AccountName]amounts)
	for name, part := range handedOver {
		s.handedOver[name] = amountsOf(part)
	}
}

// part returns the part that this pool surely has.
func (s *Stored) part(name endive.AccountName) amounts {
	if s.superseded() {
		return amounts{}
	}
	part := s.handedOver[name]
	if s.begun {
		part = s.rows[s.pool].Parts[name]
	}
	if s.lowest != nil {
		part = part.atMost(s.lowest[name])
	}
	return part
}

// SetAccounts implements endive.QuotaDivision.
func (s *Stored) SetAccounts(accounts endive.Accounts, pools int) {
	s.accounts, s.pools = accounts, max(1, pools)
}

// Allowance implements endive.QuotaDivision.
func (s *Stored) Allowance(name endive.AccountName) (endive.QuotaAllowance, bool) {
	account, ok := s.accounts.Named(name)
	if !ok || !account.HasCap() {
		return endive.QuotaAllowance{}, false
	}
	allowance := endive.QuotaAllowance{Cap: account.Cap, Tolerated: account.Tolerated(s.overage)}
	others, _, _ := s.others(name)
	limit := s.part(name)
	if ceiling, ok := s.ceilings[name]; ok {
		limit = limit.atMost(ceiling)
	}
	large := limit
	for i, most := range amountsOf(allowance.Tolerated) {
		if others[i] > 0 {
			large[i] = min(large[i], max(0, most-others[i]))
		}
	}
	allowance.Limit, allowance.Large = limit.leftBy(others, account.Cap).resources(), large.resources()
	return allowance, true
}

// HandleRows implements endive.QuotaDivision.
func (s *Stored) HandleRows(rows []endive.Row, complete bool) {
	for _, row := range rows {
		if row.Key == growthKey {
			s.growth = max(s.growth, row.Version)
		}
		pool, decoded, ok := decodeRow(row)
		// An answer of the store may be older than what is known.
		if ok && decoded.version > s.rows[pool].version {
			s.rows[pool] = decoded
		}
	}
	s.known = s.known || complete
	if s.superseded() {
		s.begun = false
	}
}

// superseded reports whether a later holder has written the pool's row.
func (s *Stored) superseded() bool { return s.rows[s.pool].Epoch > s.epoch }

// Update implements endive.QuotaDivision.
func (s *Stored) Update(now time.Time, uses map[endive.AccountName]endive.QuotaUse) (endive.QuotaChange, bool) {
	if !s.known || s.superseded() {
		return endive.QuotaChange{}, false
	}
	next := s.nextParts(uses)
	if s.inFlight != nil || now.Before(s.writeAt) {
		return endive.QuotaChange{}, false
	}
	grows := next.exceeds(s.rows[s.pool].parts)
	if grows && (s.growth < s.growthSeen || now.Before(s.growAt)) {
		return endive.QuotaChange{}, false
	}
	if s.begun && !s.answerLost && next.equals(s.rows[s.pool].parts) {
		return endive.QuotaChange{}, false
	}
	s.inFlight = &pendingParts{writeID: s.writeIDs.Next(), parts: next}
	if grows {
		s.growAt = now.Add(growInterval)
	}
	s.lowerTo(next)
	s.writeAt = now.Add(writeInterval)
	return endive.QuotaChange{Transaction: s.transaction(next, grows), Reason: next.changeFrom(s.rows[s.pool].parts)}, true
}

// nextParts returns the row that this pool should have.
func (s *Stored) nextParts(uses map[endive.AccountName]endive.QuotaUse) parts {
	next := parts{Epoch: s.epoch, Parts: make(map[endive.AccountName]amounts), Needs: make(map[endive.AccountName]amounts)}
	if uses == nil {
		// Only the epoch is written: what earlier holders have started is part of what they were
		// allowed.
		next.Parts, next.Needs = s.rows[s.pool].Parts, s.rows[s.pool].Needs
		return next
	}
	clear(s.ceilings)
	for _, account := range s.accounts.All() {
		if !account.HasCap() {
			continue
		}
		part, need := s.nextPart(account, uses[account.Name])
		if part != (amounts{}) {
			next.Parts[account.Name] = part
		}
		if need != (amounts{}) {
			next.Needs[account.Name] = need
		}
	}
	next.addMissing()
	return next
}

// nextPart returns the part of an account that this pool should have, and what to write as its
// need.
func (s *Stored) nextPart(account endive.Account, use endive.QuotaUse) (part, need amounts) {
	own := s.rows[s.pool]
	others, othersNeed, othersWant := s.others(account.Name)
	caps, tolerated := amountsOf(account.Cap), amountsOf(account.Tolerated(s.overage))
	running, waiting := amountsOf(use.Running), amountsOf(use.Waiting)
	unit, task := amountsOf(use.Unit), amountsOf(use.Task)
	var ceiling amounts
	for i := range caps {
		if caps[i] == 0 {
			continue
		}
		d := dimension{
			limit: caps[i], part: own.Parts[account.Name][i], others: others[i], othersNeed: othersNeed[i], othersWant: othersWant[i],
			running: running[i], need: running[i] + waiting[i], pools: int64(s.pools),
		}
		if endive.MayExceed(caps[i], unit[i]) {
			d.limit = tolerated[i]
			if others[i] == 0 {
				d.limit += task[i]
			}
		}
		part[i] = d.next()
		ceiling[i] = d.ceiling()
		if d.need > part[i] {
			step := max(1, caps[i]/headroomShare)
			need[i] = (d.need + step - 1) / step * step
		}
	}
	s.ceilings[account.Name] = ceiling
	return part, need
}

// others returns the sums, over the other pools, of an account's parts, of what it needs there,
// and of how much more that is than the parts.
func (s *Stored) others(name endive.AccountName) (held, needed, wanted amounts) {
	for pool, row := range s.rows {
		if pool == s.pool {
			continue
		}
		part, need := row.Parts[name], row.Needs[name]
		for i := range part {
			held[i] += part[i]
			needed[i] += max(need[i], 0)
			wanted[i] += max(0, need[i]-part[i])
		}
	}
	return held, needed, wanted
}
