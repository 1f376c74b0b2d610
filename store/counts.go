package store

import "strings"

// Count is how often the client asked for rows of one kind, retries included.
type Count struct {
	Reads  uint64 `json:"reads"`
	Scans  uint64 `json:"scans"`
	Writes uint64 `json:"writes"`
	// Rows counts the rows written.
	Rows uint64 `json:"rows"`
}

// Counts is what the client has asked of the table service since it started.
type Counts struct {
	// Kinds are the counts by the first path element of the first key.
	Kinds map[string]Count `json:"kinds"`
	// Retries counts the tries after the first.
	Retries uint64 `json:"retries"`
	// Failures counts the tries without a valid answer.
	Failures uint64 `json:"failures"`
	// Unknown counts the transactions whose answer was lost, and Settled those of
	// them that became known.
	Unknown  uint64 `json:"unknown"`
	Resolved uint64 `json:"settled"`
	// Rejected counts the operations that the circuit breaker turned down.
	Rejected uint64 `json:"broken"`
}

// kindOf returns the first path element of key.
func kindOf(key string) string {
	kind, _, _ := strings.Cut(key, "/")
	return kind
}
