package endive

import "context"

// Row is one row of the table service.
type Row struct {
	Key string `json:"key"`
	// Version counts the changes of this row.
	Version Version `json:"version"`
	// Revision is the change of the whole table that wrote the row last.
	Revision Revision `json:"revision"`
	// WriteID is the transaction that wrote the row last.
	WriteID WriteID `json:"writeId"`
	Value   []byte  `json:"value,omitempty"`
	// Deleted marks a row that was deleted; only Scan returns such rows.
	Deleted bool `json:"deleted,omitempty"`
}

// Condition holds while a row has a version. Version 0 means: no such row.
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

// Transaction writes all of its rows, or none where a condition doesn't hold.
type Transaction struct {
	// WriteID is unique to the transaction. A repeat of an applied transaction
	// with the same WriteID is refused by its conditions and recognized by the
	// rows' WriteID.
	WriteID    WriteID     `json:"writeId"`
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes"`
}

// CommitResult is the answer to an applied transaction.
type CommitResult struct {
	Revision Revision `json:"revision"`
	// Versions are the new versions of the written rows, in their order.
	Versions []Version `json:"versions"`
	// Now is the platform's time of the answer; 0 where the table tells none.
	Now PlatformTime `json:"-"`
}

// Changes is the answer to a scan.
type Changes struct {
	// Rows are in the order of their keys.
	Rows []Row `json:"rows"`
	// Revision is the newest change of the table that the scan has seen. Scanning
	// after it misses nothing.
	Revision Revision `json:"revision"`
	// Now is the platform's time of the answer; 0 where the table tells none.
	Now PlatformTime `json:"-"`
	// More says that there may be more changes after Revision already.
	More bool `json:"-"`
}

// Table is the platform's transactional table service.
type Table interface {
	// Commit applies a transaction. Its error is of class ErrConflict (nothing
	// was written; the conflicting rows are in a *ConflictError), ErrUnavailable
	// (nothing was written) or ErrUnknown (it may have been written).
	Commit(ctx context.Context, txn Transaction) (CommitResult, error)
	// Read returns the rows that exist among keys, in the order of keys. Its
	// error is of class ErrUnavailable.
	Read(ctx context.Context, keys ...string) ([]Row, error)
	// Scan returns the rows below prefix that were changed after a revision,
	// deleted ones included; after revision 0 it returns all present rows. Its
	// error is of class ErrUnavailable.
	Scan(ctx context.Context, prefix string, after Revision) (Changes, error)
}

// RowFeed tells of changed rows as soon as they change.
type RowFeed interface {
	// Follow returns the rows below prefix that were changed after a revision,
	// deleted ones included. It waits for the first change until the context's
	// deadline, or for as long as wait says. Its error is of class ErrUnavailable,
	// or ErrHistoryLost where the changes since then are forgotten: the rows must
	// be read again.
	Follow(ctx context.Context, prefix string, after Revision, wait Interval) (Changes, error)
}
