package endive

// Fetch is the action that reads rows by key. A Fetched event with the same keys
// returns them.
type Fetch struct {
	Keys []string
}

// IsAction marks Fetch as an action.
func (Fetch) IsAction() {}

// Fetched is the event with the result of a Fetch.
type Fetched struct {
	Keys []string
	// Unavailable is true if the table service didn't respond.
	Unavailable bool
	// Rows are the requested rows that exist.
	Rows []Row
}

// IsEvent marks Fetched as an event.
func (Fetched) IsEvent() {}
