package rows

import "strings"

// Count contains the counts of the requests for rows of one kind.
type Count struct {
	Reads  int `json:"reads"`
	Scans  int `json:"scans"`
	Writes int `json:"writes"`
	// Conflicts counts the transactions with a condition that didn't hold.
	Conflicts int `json:"conflicts"`
	// RowsRead and RowsWritten count the rows read and written by all requests.
	RowsRead    int `json:"rowsRead"`
	RowsWritten int `json:"rowsWritten"`
}

// Counts contains the counts of the table service by kind, the first path element
// of a key. The kind of a request is that of its first key.
type Counts struct {
	Kinds map[string]Count `json:"kinds"`
	// OverBudget counts the requests refused by the rate limits.
	OverBudget int `json:"overBudget"`
	// MostWrites and MostReads are the highest numbers of requests in one second,
	// including refused ones.
	MostWrites int `json:"mostWrites"`
	MostReads  int `json:"mostReads"`
}

// kindOf returns the first path element of key.
func kindOf(key string) string {
	kind, _, _ := strings.Cut(key, "/")
	return kind
}

// update calls change with the counts of key's kind.
func (c *Counts) update(key string, change func(*Count)) {
	kind := kindOf(key)
	count := c.Kinds[kind]
	change(&count)
	c.Kinds[kind] = count
}
