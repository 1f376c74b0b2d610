package elect

import (
	"encoding/json"

	"endiveroute.example/endive"
)

// Table is the table of the leases of all pools.
const Table = "lease"

// LeaseKey returns the row of a pool's lease.
func LeaseKey(pool endive.PoolName) string { return Table + "/" + string(pool) + "/holder" }

// Lease is the row of a pool's lease.
type Lease struct {
	Holder      endive.EntryID      `json:"holder"`
	Incarnation endive.Incarnation  `json:"incarnation"`
	Epoch       endive.Epoch        `json:"epoch"`
	Until       endive.PlatformTime `json:"until"`
	// Vacant says that the holder has given the pool up.
	Vacant bool `json:"vacant,omitempty"`
}

func (l Lease) encode() []byte {
	data, err := json.Marshal(l)
	if err != nil {
		panic("elect: a lease can't be encoded: " + err.Error())
	}
	return data
}
