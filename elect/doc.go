// Package elect decides which entry holds a pool, by a lease in the platform's store. The
// lease ends at a time of the store's clock, so that no entry compares its own clock with
// that of another. The package does no I/O.
//
// An entry that finds the lease expired acquires it under the next epoch. A previous holder
// that still runs is fenced off by the epoch: workers and the store reject its orders and
// writes. The lease only keeps two live entries from replacing each other in turn.
package elect
