package keep

// phase says what the keeper is doing about a key.
type phase int

const (
	// phaseIdle has nothing on its way.
	phaseIdle phase = iota
	// phaseReading waits for the row.
	phaseReading
	// phaseWritingIntent waits for the transaction of an intent.
	phaseWritingIntent
	// phaseRunning waits for the outcome of a request of this entry.
	phaseRunning
	// phaseStoringBody waits for the object store to take the answer's body.
	phaseStoringBody
	// phaseWritingOutcome waits for the transaction of an outcome.
	phaseWritingOutcome
	// phasePolling looks at the pending row of another entry now and then.
	phasePolling
	// phaseExpiring waits for the transaction that gives up on another entry.
	phaseExpiring
	// phaseLoadingBody waits for the body from the object store.
	phaseLoadingBody
)

// awaitsTable reports whether an answer of the table is on its way.
func (p phase) awaitsTable() bool {
	switch p {
	case phaseReading, phaseWritingIntent, phaseWritingOutcome, phaseExpiring:
		return true
	}
	return false
}
