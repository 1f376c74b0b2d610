package quota

// dimension is the division of one dimension of an account's cap, as seen by one pool.
type dimension struct {
	// limit is the most that all pools together may use.
	limit int64
	// part is what this pool has, and others what the other pools have.
	part, others int64
	// othersNeed is what the other pools need whose part is too small, and othersWant by how
	// much their parts are too small.
	othersNeed, othersWant int64
	// running is what runs in this pool; need is that and what could start now.
	running, need int64
	pools         int64
}

// next returns the part that this pool should have. What runs is always part of it, also where
// it exceeds the limit: the other pools must know of it.
func (d dimension) next() int64 {
	// Each pool takes its equal part before it is needed: the first tasks of an account then
	// need not wait for a write.
	part := max(d.part, d.limit/d.pools)
	if d.need > part {
		part = d.need + d.limit/headroomShare
	}
	part = min(part, d.limit-d.others)
	return max(d.running, min(part, d.ceiling()))
}

// ceiling returns the limit up to which this pool may start runs now. It is below the pool's
// part if other pools want more than is left.
func (d dimension) ceiling() int64 {
	ceiling := max(d.part, d.limit)
	if d.othersWant > 0 {
		ceiling = min(ceiling, max(min(d.need, d.fairShare()), d.limit-d.others-d.othersWant))
	}
	return ceiling
}

// fairShare returns this pool's share of the limit if all pools need more than there is: the
// same for each pool, and what the others don't need. So a large backlog in one pool doesn't
// take from another what the few tasks there need.
func (d dimension) fairShare() int64 { return max(d.limit/d.pools, d.limit-d.othersNeed) }
