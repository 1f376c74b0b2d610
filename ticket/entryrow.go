package ticket

import (
	"encoding/json"
	"strings"
	"time"

	"endiveroute.example/endive"
)

// entryPrefix is the key prefix of the rows of registered entries.
const entryPrefix = "entries/"

// entryValue is the value of an entry's row.
type entryValue struct {
	Incarnation endive.Incarnation `json:"incarnation,omitempty"`
	// Unregistered revokes the registration. The row is kept for a while so that its
	// version numbers continue if the entry registers again.
	Unregistered bool `json:"ended,omitempty"`
}

// entryRow is the row of a registered entry, with the entry's presence among the
// members.
type entryRow struct {
	incarnation  endive.Incarnation
	version      endive.Version
	unregistered bool
	// goneSince is when the entry was first found gone since this version of
	// the row was written; zero if the entry is not gone.
	goneSince time.Time
	// wasMember is set once the entry has appeared in a view of the members.
	wasMember bool
}

func entryKey(entry endive.EntryID) string { return entryPrefix + string(entry) }

func (v entryValue) encode() []byte {
	// Marshalling a string can't fail.
	value, _ := json.Marshal(v)
	return value
}

// decodeEntry decodes the row of an entry. If the value is invalid, the entry still
// counts as registered, with an empty incarnation that no running entry has.
func decodeEntry(row endive.Row) (endive.EntryID, *entryRow) {
	var value entryValue
	if err := json.Unmarshal(row.Value, &value); err != nil {
		value = entryValue{}
	}
	entry := endive.EntryID(strings.TrimPrefix(row.Key, entryPrefix))
	return entry, &entryRow{incarnation: value.Incarnation, version: row.Version, unregistered: value.Unregistered}
}
