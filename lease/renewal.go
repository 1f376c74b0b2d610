package lease

import (
	"time"

	"endiveroute.example/endive"
)

// renewal is the one transaction on its way that renews leases.
type renewal struct {
	writeID endive.WriteID
	sentAt  time.Time
	slices  []renewedSlice
}

// renewedSlice is one slice of a renewal.
type renewedSlice struct {
	id    endive.SliceID
	epoch endive.Epoch
}
