package endive

import "time"

// AccountOrder decides which work of the accounts goes first when a pool is full.
type AccountOrder interface {
	// BeyondShare takes an accepted workflow of an account and reports whether the account has
	// handed in more than its weight allows. Such work is served after all other work. The times
	// of an account's workflows don't decrease, but for those that were accepted before.
	BeyondShare(account Account, accepted time.Time) bool
}
