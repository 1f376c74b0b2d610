package keep

// phase is the phase of the work on an idempotency key.
type phase int

const (
	// phaseIdle has no operation in progress.
	phaseIdle phase = iota
	// phaseReading waits for the key's row from the table.
	phaseReading
	// phaseWritingIntent waits for the transaction that records an intent.
	phaseWritingIntent
	// phaseRunning waits for the outcome of a request sent by this entry.
	phaseRunning
	// phaseStoringBody waits for the object store to write the response body.
	phaseStoringBody
	// phaseWritingOutcome waits for the transaction that records an outcome.
	phaseWritingOutcome
	// phasePolling polls a row in which another entry's request is pending.
	phasePolling
	// phaseExpiring waits for the transaction that records an unknown outcome for
	// another entry's request.
	phaseExpiring
	// phaseLoadingBody waits for the response body from the object store.
	phaseLoadingBody
)

// awaitsTable reports whether a request to the table service is in flight.
func (p phase) awaitsTable() bool {
	switch p {
	case phaseReading, phaseWritingIntent, phaseWritingOutcome, phaseExpiring:
		return true
	}
	return false
}
