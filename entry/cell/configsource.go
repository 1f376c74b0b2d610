package cell

import "time"

// configSource is where an entry reads the configuration.
type configSource int

// Sources of the configuration.
const (
	// sourceStore is the store.
	sourceStore configSource = iota
	// sourceReader is the current reader, which answers when it has an update.
	sourceReader
	// sourceNextReader is another reader, which answers at once.
	sourceNextReader
	// sourceReceiver is a reader that is receiving a configuration and answers soon.
	sourceReceiver
)

// receivingAgeLimit is the age of a configuration from which an entry doesn't wait for a reader
// that is receiving one any longer.
const receivingAgeLimit = 2200 * time.Millisecond

// sourceState is what the choice of the next source depends on.
type sourceState struct {
	// loaded is whether the entry has read a configuration since its start, and strict
	// whether it has strict keys.
	loaded bool
	strict bool
	// readers is the number of readers that the entry can ask; 0 at a reader.
	readers int
	// failed is the number of requests to readers in a row that confirmed nothing.
	failed int
	// receiving is whether the reader that answered last is receiving a configuration.
	receiving bool
	// age is the age of the configuration.
	age time.Duration
	// paused is whether the readers failed a moment ago.
	paused bool
}

// next returns the next source. With strict keys it's always the store, since an entry must not
// refuse calls because a reader failed.
func (s sourceState) next() configSource {
	switch {
	case !s.loaded || s.strict || s.readers == 0 || s.paused:
		return sourceStore
	case s.failed == 0:
		return sourceReader
	case s.failed == 1:
		return sourceNextReader
	case s.receiving && s.age < receivingAgeLimit:
		return sourceReceiver
	default:
		return sourceStore
	}
}
