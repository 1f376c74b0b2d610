package endive

import "strconv"

// WriteIDs generates unique transaction ids for one role of one run of an entry.
type WriteIDs struct {
	prefix     string
	lastNumber uint64
}

// NewWriteIDs returns the generator for a role. The incarnation must be unique to the
// run of the entry; otherwise ids would repeat.
func NewWriteIDs(entry EntryID, incarnation Incarnation, role string) *WriteIDs {
	return &WriteIDs{prefix: string(entry) + "/" + string(incarnation) + "/" + role + "/"}
}

// Next returns a new unique id.
func (w *WriteIDs) Next() WriteID {
	w.lastNumber++
	return WriteID(w.prefix + strconv.FormatUint(w.lastNumber, 10))
}
