package quota

import "endiveroute.example/endive"

// amounts are Resources as numbers, for calculations that are the same in each dimension.
type amounts [3]int64

func amountsOf(r endive.Resources) amounts {
	return amounts{int64(r.Processors), int64(r.Memory), int64(r.Accelerators)}
}

func (a amounts) resources() endive.Resources {
	return endive.Resources{
		Processors: endive.MilliProcessors(a[0]), Memory: endive.Bytes(a[1]), Accelerators: endive.Accelerators(a[2]),
	}
}

// atMost returns the smaller amount in each dimension.
func (a amounts) atMost(b amounts) amounts {
	for i := range a {
		a[i] = min(a[i], b[i])
	}
	return a
}

// leftBy returns a part, or what the other pools leave of the account's cap if that is less. The other pools may not know
// of this pool's part yet, so they count in full.
func (a amounts) leftBy(others amounts, limit endive.Resources) amounts {
	for i, most := range amountsOf(limit) {
		a[i] = min(a[i], max(0, most-others[i]))
	}
	return a
}
