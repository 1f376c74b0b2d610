package store

import "strings"

// Count holds the number of operations on rows of one kind, including retries.
type Count struct {
	Reads  uint64 `json:"reads"`
	Scans  uint64 `json:"scans"`
	Writes uint64 `json:"writes"`
	// Rows counts the rows written.
	Rows uint64 `json:"rows"`
}

// Counts holds the numbers of operations on the table service since the client's
// start.
type Counts struct {
	// Kinds holds the counts by the first path element of the operation's first key.
	Kinds map[string]Count `json:"kinds"`
	// Retries counts the attempts at operations, without the first attempt at
	// each operation.
	Retries uint64 `json:"retries"`
	// Failures counts the attempts without a valid answer.
	Failures uint64 `json:"failures"`
	// Unknown counts the transactions whose answer was lost, and Resolved
	// counts those of them whose result was determined later.
	Unknown  uint64 `json:"unknown"`
	Resolved uint64 `json:"settled"`
	// Rejected counts the operations that the circuit breaker rejected.
	Rejected uint64 `json:"broken"`
}

// kindOf returns the first path element of key.
func kindOf(key string) string {
	kind, _, _ := strings.Cut(key, "/")
	return kind
}
