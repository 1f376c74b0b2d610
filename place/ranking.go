package place

// ranking lists the teams by rising dominant share.
type ranking []*team

// add adds a team without usage.
func (r *ranking) add(t *team) {
	t.rank = len(*r)
	*r = append(*r, t)
	r.reposition(t)
}

// reposition moves a team to its rank after its share has changed.
func (r ranking) reposition(t *team) {
	for t.rank > 0 && r[t.rank-1].dominantShare > t.dominantShare {
		r.swap(t.rank, t.rank-1)
	}
	for t.rank+1 < len(r) && r[t.rank+1].dominantShare < t.dominantShare {
		r.swap(t.rank, t.rank+1)
	}
}

func (r ranking) swap(i, k int) {
	r[i], r[k] = r[k], r[i]
	r[i].rank, r[k].rank = i, k
}
