package endive

// Scan is the action that reads the rows with a key prefix that changed after a
// revision. A Scanned event with the same prefix returns them.
type Scan struct {
	Prefix string
	After  Revision
}

// IsAction marks Scan as an action.
func (Scan) IsAction() {}

// Scanned is the event with the result of a Scan.
type Scanned struct {
	Prefix string
	After  Revision
	// Unavailable is true if the table service didn't respond.
	Unavailable bool
	Changes     Changes
}

// IsEvent marks Scanned as an event.
func (Scanned) IsEvent() {}
