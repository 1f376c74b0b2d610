package store

// retryBudget is a budget of retryBudget that successes earn. It is not safe for
// concurrent use.
type retryBudget struct {
	fraction float64
	tokens   float64
}

// earn adds what a success earns.
func (r *retryBudget) earn() {
	r.tokens = min(r.tokens+r.fraction, maxRetryTokens)
}

// spend reports whether one more retry is within the budget, and takes it.
func (r *retryBudget) spend() bool {
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}
