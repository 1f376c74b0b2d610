// Package route is the part of an entry that sends clients' requests to
// executors.
//
// A request waits in its service's queue and is sent only once a slot of an
// executor is free. It ends with exactly one Answer: Answered with the
// executor's complete response, NotRun if no executor has run it or will run
// it, or Unknown.
package route
