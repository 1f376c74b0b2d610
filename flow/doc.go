// Package flow is the scheduler of a pool. It runs in the entry that holds the pool and
// decides when and on which worker each task of a workflow starts, how the result of
// each run is handled, and what is written to the store. It does no I/O.
//
// A task waits until the steps before it have succeeded. It is then started on a worker
// under a lease and ends there. The end of a run counts once it is recorded in the store;
// only then is it acknowledged to the worker, which deletes it. A task is started again only
// when its previous run has certainly ended: the worker has reported the end, another
// incarnation of the worker runs, or the lease has expired on the worker's clock.
package flow
