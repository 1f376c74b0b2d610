// Package elect decides which entry holds a pool. The lease is a row of the
// platform's store, and its end is a time of the store's clock, so that no two
// machines' clocks are compared. It does no I/O.
//
// Whoever finds the lease run out takes the pool under the next epoch. The epoch,
// not the lease, keeps an old holder out: workers and the store refuse its orders
// and writes. The lease keeps two entries from taking turns.
package elect
