package apiv1

import "endiveroute.example/endive"

// RecordedOutcome is what is known of the request under an idempotency key.
type RecordedOutcome struct {
	Service endive.ServiceName    `json:"service"`
	Key     endive.IdempotencyKey `json:"key"`
	// Running says that the request was begun and its outcome isn't known yet.
	Running bool `json:"running,omitempty"`
	// Outcome is empty while the request is running.
	Outcome endive.Outcome `json:"outcome,omitempty"`
	// Status and Body are the executor's answer, for Answered.
	Status int    `json:"status,omitempty"`
	Body   []byte `json:"body,omitempty"`
	Reason string `json:"reason,omitempty"`
}
