// Package place schedules the tasks of one slice: it decides which task runs on
// which worker. Its Machine runs on the entry that holds the slice's lease.
//
// A new holder first polls every worker with its own epoch. The answer lists
// the attempts on the worker, and from then on the worker refuses commands of
// the previous holder. A task that may run on a worker that doesn't answer is
// not started elsewhere until its lease there has certainly expired.
package place
