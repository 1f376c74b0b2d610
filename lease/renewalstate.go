package lease

import (
	"time"

	"endiveroute.example/endive"
)

// renewal is the transaction in flight that renews leases. At most one renewal
// is in flight.
type renewal struct {
	writeID endive.WriteID
	sentAt  time.Time
	slices  []renewedSlice
}

// renewedSlice is a slice whose lease a renewal extends, with its epoch at that time.
type renewedSlice struct {
	id    endive.SliceID
	epoch endive.Epoch
}
