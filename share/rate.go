package share

import (
	"time"

	"endiveroute.example/endive"
)

// Rate serves what an account hands in beyond its weight, in workflows a second, after all other
// work. It is meant for an account that suddenly hands in many times its usual: the others, and
// what it hands in within its weight, are served as usual. It implements endive.AccountOrder.
type Rate struct {
	buckets map[endive.AccountName]*bucket
}

// bucket has the workflows that an account may still hand in at once.
type bucket struct {
	tokens float64
	at     time.Time
}

// burst is the time for which an account that was idle may hand in its weight at once.
const burst = time.Second

// NewRate returns an order for accounts that were idle.
func NewRate() *Rate { return &Rate{buckets: make(map[endive.AccountName]*bucket)} }

// BeyondShare implements endive.AccountOrder. An account without a weight has no share to exceed.
func (r *Rate) BeyondShare(account endive.Account, accepted time.Time) bool {
	if account.Weight <= 0 {
		return false
	}
	most := max(1, account.Weight*burst.Seconds())
	b := r.buckets[account.Name]
	if b == nil {
		b = &bucket{tokens: most, at: accepted}
		r.buckets[account.Name] = b
	}
	if accepted.After(b.at) {
		b.tokens = min(most, b.tokens+account.Weight*accepted.Sub(b.at).Seconds())
		b.at = accepted
	}
	if b.tokens < 1 {
		return true
	}
	b.tokens--
	return false
}
