package lease

import (
	"encoding/json"
	"strings"

	"github.com/zeebo/errs"

	"endiveroute.example/endive"
)

// Parts of the keys of a slice's rows.
const (
	slicePrefix = "slices/"
	epochSuffix = "/epoch"
	leaseSuffix = "/lease"
)

// epochRow is the value of the row that names the holder of a slice.
type epochRow struct {
	// Holder is empty if the previous holder stopped and found no successor.
	Holder      endive.EntryID     `json:"holder"`
	Incarnation endive.Incarnation `json:"incarnation"`
	Epoch       endive.Epoch       `json:"epoch"`
	Pool        endive.PoolName    `json:"pool"`
	Region      endive.Region      `json:"region"`
	// HandedBy is the previous holder if it handed the slice over after ending all of its
	// operations on the slice.
	HandedBy endive.EntryID `json:"handedBy,omitempty"`
}

// leaseRow is the value of the row that the holder writes at each renewal.
type leaseRow struct {
	Epoch endive.Epoch `json:"epoch"`
}

func epochKey(id endive.SliceID) string { return slicePrefix + string(id) + epochSuffix }
func leaseKey(id endive.SliceID) string { return slicePrefix + string(id) + leaseSuffix }

// sliceOf returns the slice of a row's key, or false if the key doesn't end in suffix.
func sliceOf(key, suffix string) (endive.SliceID, bool) {
	id, ok := strings.CutSuffix(strings.TrimPrefix(key, slicePrefix), suffix)
	return endive.SliceID(id), ok && id != "" && !strings.Contains(id, "/")
}

// encode returns the row as JSON.
func (r epochRow) encode() []byte {
	// Marshalling a struct of strings and numbers can't fail.
	value, _ := json.Marshal(r)
	return value
}

// encode returns the row as JSON.
func (r leaseRow) encode() []byte {
	// Marshalling a struct of numbers can't fail.
	value, _ := json.Marshal(r)
	return value
}

// decodeEpoch decodes and checks the value of an epoch row.
func decodeEpoch(value []byte) (epochRow, error) {
	var r epochRow
	if err := json.Unmarshal(value, &r); err != nil {
		return epochRow{}, errs.New("decodeEpoch: %w", err)
	}
	if (r.Holder == "" && r.HandedBy == "") || r.Epoch == 0 {
		return epochRow{}, errs.New("decodeEpoch: no holder or epoch in %q", value)
	}
	return r, nil
}
