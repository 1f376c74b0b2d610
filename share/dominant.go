package share

import (
	"time"

	"endiveroute.example/endive"
)

// Dominant serves first the accounts that use least of the pool for their weight, by the dimension
// of which they use most. It implements endive.AccountOrder.
type Dominant struct{}

// levels is the number of steps in which the use of a whole pool, for a weight of 1, is compared.
const levels = 400

// BeyondShare implements endive.AccountOrder.
func (Dominant) BeyondShare(endive.Account, time.Time) bool { return false }

// Level implements endive.AccountOrder.
func (Dominant) Level(account endive.Account, used, capacity endive.Resources) int {
	if account.Weight <= 0 {
		return 0
	}
	dominant := 0.0
	share := func(used, capacity int64) {
		if capacity > 0 {
			dominant = max(dominant, float64(used)/float64(capacity))
		}
	}
	share(int64(used.Processors), int64(capacity.Processors))
	share(int64(used.Memory), int64(capacity.Memory))
	share(int64(used.Accelerators), int64(capacity.Accelerators))
	return int(levels * dominant / account.Weight)
}
