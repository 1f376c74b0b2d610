package endive

import "strings"

// ConflictError lists the current rows whose conditions failed in a transaction.
type ConflictError struct {
	Rows []Row
}

// Error lists the keys of the rows.
func (e *ConflictError) Error() string {
	keys := make([]string, 0, len(e.Rows))
	for _, row := range e.Rows {
		keys = append(keys, row.Key)
	}
	return "rows changed concurrently: " + strings.Join(keys, ", ")
}
