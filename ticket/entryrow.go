package ticket

import (
	"encoding/json"
	"strings"
	"time"

	"endiveroute.example/endive"
)

// entryPrefix stands before the keys of registered entries.
const entryPrefix = "entries/"

// entryValue is the value of an entry's row.
type entryValue struct {
	Incarnation endive.Incarnation `json:"incarnation,omitempty"`
	// Unregistered takes the registration back. The row stays for a while, so that its
	// versions go on.
	Unregistered bool `json:"ended,omitempty"`
}

// entryRow is a registered entry as the table has it.
type entryRow struct {
	incarnation  endive.Incarnation
	version      endive.Version
	unregistered bool
	// goneSince is when the entry was first seen gone at this version; zero
	// where it isn't gone.
	goneSince time.Time
	// wasMember says that the entry has been in a view of the members.
	wasMember bool
}

// entryKey returns the key of an entry's row.
func entryKey(entry endive.EntryID) string { return entryPrefix + string(entry) }

// encode returns the value of an entry's row.
func (v entryValue) encode() []byte {
	// Marshalling a string can't fail.
	value, _ := json.Marshal(v)
	return value
}

// decodeEntry reads a row of an entry. An entry whose value can't be read is
// registered all the same, under an incarnation that nobody has.
func decodeEntry(row endive.Row) (endive.EntryID, *entryRow) {
	var value entryValue
	if err := json.Unmarshal(row.Value, &value); err != nil {
		value = entryValue{}
	}
	entry := endive.EntryID(strings.TrimPrefix(row.Key, entryPrefix))
	return entry, &entryRow{incarnation: value.Incarnation, version: row.Version, unregistered: value.Unregistered}
}
