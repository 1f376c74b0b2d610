package apiv1

import "endiveroute.example/endive"

// RecordedOutcome is the record of the request with an idempotency key.
type RecordedOutcome struct {
	Service endive.ServiceName    `json:"service"`
	Key     endive.IdempotencyKey `json:"key"`
	// Running reports whether the request was started and its outcome isn't known yet.
	Running bool `json:"running,omitempty"`
	// Outcome is empty while the request is running.
	Outcome endive.Outcome `json:"outcome,omitempty"`
	// Status and Body are the executor's answer, set if Outcome is Answered.
	Status int    `json:"status,omitempty"`
	Body   []byte `json:"body,omitempty"`
	Reason string `json:"reason,omitempty"`
}
