// Package lease manages an entry's leases of slices: it acquires slices without a holder,
// renews the leases that the entry holds, and hands the slices over in a planned stop.
//
// A slice has two rows. slices/<id>/epoch names the holder and the epoch and
// changes only when the holder changes. Each write of the holder has this row's
// version as a condition, which fences off earlier holders. slices/<id>/lease
// is written at each renewal. An entry that has seen the lease row unchanged
// for longer than the lease may acquire the slice.
package lease
