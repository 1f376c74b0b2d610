package quota

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"

	"endiveroute.example/endive"
)

// Prefix is the key prefix of the rows with the pools' parts. They are in one partition of the
// store, so that one transaction can read and write several of them.
const Prefix = "quota/parts/"

const (
	// poolPrefix is the prefix of the rows of pools.
	poolPrefix = Prefix + "pool."
	// growthKey is the key of the row that each transaction with a larger part replaces, on the
	// condition that no other has done so since the parts were read.
	growthKey = Prefix + "growth"
)

// partsKey returns the key of the row with a pool's parts.
func partsKey(pool endive.PoolName) string { return poolPrefix + string(pool) }

// parts is the row of a pool.
type parts struct {
	// Epoch is the epoch of the holder that wrote the row.
	Epoch endive.Epoch `json:"epoch"`
	// Parts is what each account may use in the pool. Needs is what the account uses and would
	// use there, for the accounts whose part is too small.
	Parts map[endive.AccountName]amounts `json:"parts"`
	Needs map[endive.AccountName]amounts `json:"needs,omitempty"`
}

// equals reports whether two rows are the same.
func (p parts) equals(other parts) bool {
	return p.Epoch == other.Epoch && maps.Equal(p.Parts, other.Parts) && maps.Equal(p.Needs, other.Needs)
}

// exceeds reports whether the part of any account is larger than in the other row.
func (p parts) exceeds(other parts) bool {
	for name, part := range p.Parts {
		if part != part.atMost(other.Parts[name]) {
			return true
		}
	}
	return false
}

// maxNamedAccounts limits the accounts that are named in the description of a change.
const maxNamedAccounts = 6

// changeFrom describes in which accounts a row differs from an earlier one.
func (p parts) changeFrom(old parts) string {
	var changes []string
	if p.Epoch != old.Epoch {
		changes = append(changes, "epoch "+strconv.FormatUint(uint64(p.Epoch), 10))
	}
	// A row without parts or needs has a nil map.
	names := make(map[endive.AccountName]amounts)
	for _, named := range []map[endive.AccountName]amounts{p.Parts, old.Parts, p.Needs, old.Needs} {
		maps.Copy(names, named)
	}
	for _, name := range slices.Sorted(maps.Keys(names)) {
		from, to := old.Parts[name], p.Parts[name]
		switch {
		case from != to:
			changes = append(changes, fmt.Sprintf("%s from %v to %v", name, from, to))
		case old.Needs[name] != p.Needs[name]:
			changes = append(changes, fmt.Sprintf("%s needs %v", name, p.Needs[name]))
		}
	}
	if len(changes) > maxNamedAccounts {
		changes = append(changes[:maxNamedAccounts], fmt.Sprintf("%d more", len(changes)-maxNamedAccounts))
	}
	return strings.Join(changes, "; ")
}

// partsRow is a row with the version at which it was read; version 0 means that there is none.
type partsRow struct {
	parts
	version endive.Version
}

// decodeRow decodes a row with a pool's parts. A row that can't be decoded counts as one without
// parts, but its version is known, so that the pool's holder can replace it.
func decodeRow(row endive.Row) (endive.PoolName, partsRow, bool) {
	pool, ok := strings.CutPrefix(row.Key, poolPrefix)
	if !ok {
		return "", partsRow{}, false
	}
	decoded := partsRow{version: row.Version}
	if row.Deleted {
		return endive.PoolName(pool), partsRow{}, true
	}
	if err := json.Unmarshal(row.Value, &decoded.parts); err != nil {
		decoded.parts = parts{}
	}
	return endive.PoolName(pool), decoded, true
}

// encodeParts encodes a row. It always has the field for the parts, since entries of earlier
// versions can't take over a pool without it.
func encodeParts(p parts) []byte {
	if p.Parts == nil {
		p.Parts = map[endive.AccountName]amounts{}
	}
	data, err := json.Marshal(p)
	if err != nil {
		panic("quota: a row can't be encoded: " + err.Error())
	}
	return data
}
