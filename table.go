package endive

import "context"

// Row is one row of the table service.
type Row struct {
	Key string `json:"key"`
	// Version is the number of changes of this row.
	Version Version `json:"version"`
	// Revision is the revision of the table at which the row was last written.
	Revision Revision `json:"revision"`
	// WriteID identifies the transaction that last wrote the row.
	WriteID WriteID `json:"writeId"`
	Value   []byte  `json:"value,omitempty"`
	// Deleted marks a deleted row. Only scans and feeds of changes return such rows.
	Deleted bool `json:"deleted,omitempty"`
}

// Condition requires a row to have the given version. Version 0 requires that the row
// doesn't exist.
type Condition struct {
	Key     string  `json:"key"`
	Version Version `json:"version"`
}

// Write sets or deletes a row.
type Write struct {
	Key    string `json:"key"`
	Value  []byte `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Transaction writes all of its rows atomically, or none if a condition fails.
type Transaction struct {
	// WriteID is unique to the transaction. If an applied transaction is sent again
	// with the same WriteID, its conditions fail, and the WriteID in the rows shows
	// that it was applied before.
	WriteID    WriteID     `json:"writeId"`
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// CommitResult is the response to an applied transaction.
type CommitResult struct {
	Revision Revision `json:"revision"`
	// Versions are the new versions of the written rows, in the order of the writes.
	Versions []Version `json:"versions"`
	// Now is the platform's time of the response; 0 if the table doesn't return it.
	Now PlatformTime `json:"-"`
}

// Changes is the result of a scan.
type Changes struct {
	// Rows are sorted by key.
	Rows []Row `json:"rows"`
	// Revision is the revision of the table that the scan reached. The next scan can
	// start after it without missing changes.
	Revision Revision `json:"revision"`
	// Now is the platform's time of the response; 0 if the table doesn't return it.
	Now PlatformTime `json:"-"`
	// More is true if there may already be further changes after Revision.
	More bool `json:"-"`
}

// Table is the platform's transactional table service.
type Table interface {
	// Commit applies a transaction. Its error is of class ErrConflict (nothing was
	// written; a *ConflictError lists the conflicting rows), ErrUnavailable (nothing
	// was written), ErrRejected (nothing was written, and never will be) or ErrUnknown
	// (the transaction may have been applied).
	Commit(ctx context.Context, txn Transaction) (CommitResult, error)
	// Read returns the existing rows with the given keys, in the order of keys. Its
	// error is of class ErrUnavailable.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns the rows with a key prefix that changed after a revision, including
	// deleted ones; after revision 0 it returns all existing rows. Its error is of
	// class ErrUnavailable.
	Scan(ctx context.Context, prefix string, after Revision) (Changes, error)
}

// RowFeed returns changed rows by long polling.
type RowFeed interface {
	// Follow returns the rows with a key prefix that changed after a revision,
	// including deleted ones. It waits for the first change up to wait or the
	// context's deadline. Its error is of class ErrUnavailable, or ErrHistoryLost if
	// the changes since the revision are no longer available, so that the rows must be
	// read again.
	Follow(ctx context.Context, prefix string, after Revision, wait Interval) (Changes, error)
}
