package store

// retryBudget limits retries to a fraction of the successful operations. It is not
// safe for concurrent use.
type retryBudget struct {
	fraction float64
	tokens   float64
}

// earn adds the fraction of a retry that one success allows.
func (r *retryBudget) earn() {
	r.tokens = min(r.tokens+r.fraction, maxRetryTokens)
}

// spend takes one retry from the budget. It reports false if no retry is left.
func (r *retryBudget) spend() bool {
	if r.tokens < 1 {
		return false
	}
	r.tokens--
	return true
}
