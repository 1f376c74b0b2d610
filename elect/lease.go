package elect

import (
	"encoding/json"

	"endiveroute.example/endive"
)

// Table is the prefix of the keys of all lease rows.
const Table = "lease"

// LeaseKey returns the key of the row with a pool's lease.
func LeaseKey(pool endive.PoolName) string { return Table + "/" + string(pool) + "/holder" }

// Lease is the content of the row with a pool's lease.
type Lease struct {
	Holder      endive.EntryID     `json:"holder"`
	Incarnation endive.Incarnation `json:"incarnation"`
	Epoch       endive.Epoch       `json:"epoch"`
	// Until is when the lease ends. If it was released, the holder may still act until then, unless it has the answer to the
	// release.
	Until endive.PlatformTime `json:"until"`
	// FormerUntil is until when a holder before this one may still act; 0 if none may. Earlier builds don't write it.
	FormerUntil endive.PlatformTime `json:"formerUntil,omitempty"`
	// Vacant is true if the holder has released the lease.
	Vacant bool `json:"vacant,omitempty"`
}

func (l Lease) encode() []byte {
	data, err := json.Marshal(l)
	if err != nil {
		panic("elect: cannot encode lease: " + err.Error())
	}
	return data
}
