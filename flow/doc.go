// Package flow decides, for the entry that holds a pool, what runs on the pool's
// workers: which task of which workflow starts where and when, what becomes of each
// run, and what is recorded of it. It does no I/O.
//
// A task's life: it waits until the steps before it have succeeded, is started on a
// worker under a lease, and ends there. An end counts once it is recorded in the
// store; only then the worker is told to forget it. A task is started again only
// when its last run surely has ended: the worker listed the end, is another
// incarnation now, or the lease has run out on its clock.
package flow
