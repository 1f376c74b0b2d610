package share

import (
	"time"

	"endiveroute.example/endive"
)

// None treats all accounts alike. It implements endive.AccountOrder.
type None struct{}

// BeyondShare implements endive.AccountOrder.
func (None) BeyondShare(endive.Account, time.Time) bool { return false }

// Level implements endive.AccountOrder.
func (None) Level(endive.Account, endive.Resources, endive.Resources) int { return 0 }
