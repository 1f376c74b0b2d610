package cell

import (
	"time"

	"endiveroute.example/endive"
)

// A key that the configuration doesn't have is refused at once, without a look at the store for
// a newer one: the long poll brings a new version within milliseconds, and a flood of wrong
// keys would otherwise become calls of the store.

// authenticate returns who makes a call on a queue and whether that caller may use the queue.
func (c *Cell) authenticate(config *endive.CellConfig, queue endive.Queue, key string) (endive.Caller, endive.Access) {
	if !config.Accounts.Required() || queue.Public && key == "" {
		return endive.Caller{}, endive.AccessGranted
	}
	if c.Settings.Bounds.StrictKeys && c.config.age() > time.Duration(c.Settings.Bounds.MaxKeyAge) {
		return endive.Caller{}, endive.AccessUnconfirmed
	}
	account, ok := config.Accounts.WithKey(key)
	if !ok {
		return endive.Caller{}, endive.AccessDenied
	}
	return endive.Caller{Account: account.Name}, endive.AccessGranted
}
