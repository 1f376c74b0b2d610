// Package store is the entry's client for the table service. It reports each
// transaction as applied, conflict or not applied. If the table service's answer
// was lost, it first reports unknown, and the result once it is resolved.
//
// Each transaction also writes a marker row. Only this client writes the row,
// and only one transaction uses it at a time. To resolve a transaction with an
// unknown result, the client writes the marker row in another transaction (the
// fence), on the condition that the first transaction hasn't written the row.
// If the fence is applied, the first transaction can never be applied any more.
// If the fence conflicts and the marker row has the first transaction's
// WriteID, that transaction was applied. Reading the transaction's own rows
// would not be enough: other writers may have overwritten these rows, and a
// delayed transaction may still arrive.
//
// This costs one additional row per transaction, but no additional transaction
// unless an answer is lost. The marker rows of ended runs stay in the table, at
// most one for each transaction that the run had in flight at the same time. If
// a marker row were deleted, a delayed transaction could find its condition
// fulfilled again. Concurrent transactions aren't merged into one: their rows
// would share a WriteID, and a conflict in one would fail all.
package store
