package keep

import (
	"encoding/json"
	"time"

	"github.com/zeebo/errs"

	"endiveroute.example/endive"
)

// intentPrefix is the key prefix of intent rows.
const intentPrefix = "intents/"

// maxRemaining limits the remaining time that a row may contain.
const maxRemaining = 24 * time.Hour

// intentState is the state of a request in its row.
type intentState string

// The states of a request. A row changes its state only from statePending or
// stateNotRun.
const (
	statePending  intentState = "pending"
	stateAnswered intentState = "answered"
	stateNotRun   intentState = "notRun"
	stateUnknown  intentState = "unknown"
)

// intentRow is the value of a key's row.
type intentRow struct {
	State   intentState      `json:"state"`
	Request endive.RequestID `json:"request"`
	Entry   endive.EntryID   `json:"entry"`
	Digest  Digest           `json:"digest"`
	// RemainingMillis is the time in milliseconds that remained until the request's
	// deadline when the intent was sent to the table.
	RemainingMillis int64 `json:"remainingMillis,omitempty"`
	// Status and Body are the response. A body that is too large for the row is kept
	// in the object store instead, and Object is its name there.
	Status int    `json:"status,omitempty"`
	Body   []byte `json:"body,omitempty"`
	Object string `json:"object,omitempty"`
}

// intentKey returns the key of the row for an idempotency key.
func intentKey(service endive.ServiceName, key endive.IdempotencyKey) string {
	return intentPrefix + string(service) + "/" + string(key)
}

func (r intentRow) encode() []byte {
	// Marshalling a struct of strings and numbers can't fail.
	value, _ := json.Marshal(r)
	return value
}

// decodeIntent decodes and checks the value of a row.
func decodeIntent(value []byte) (intentRow, error) {
	var r intentRow
	if err := json.Unmarshal(value, &r); err != nil {
		return intentRow{}, errs.New("decodeIntent: %w", err)
	}
	switch r.State {
	case statePending, stateAnswered, stateNotRun, stateUnknown:
	default:
		return intentRow{}, errs.New("decodeIntent: unknown state %q", r.State)
	}
	if r.Request == "" || r.RemainingMillis < 0 || r.RemainingMillis > maxRemaining.Milliseconds() {
		return intentRow{}, errs.New("decodeIntent: request %q with %d ms left", r.Request, r.RemainingMillis)
	}
	return r, nil
}

// stateOf returns the state that represents an outcome.
func stateOf(outcome endive.Outcome) intentState {
	switch outcome {
	case endive.Answered:
		return stateAnswered
	case endive.NotRun:
		return stateNotRun
	default:
		return stateUnknown
	}
}

// outcome returns the outcome that clients get for a recorded state.
func (s intentState) outcome() endive.Outcome {
	switch s {
	case stateAnswered:
		return endive.Answered
	case stateNotRun:
		return endive.NotRun
	default:
		return endive.Unknown
	}
}
