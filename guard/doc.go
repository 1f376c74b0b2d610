// Package guard opens HTTP connections that track what was sent on them. Clients of the
// platform and of executors use it to tell a request that was never sent from one that may
// have been received, and to prevent net/http from sending a request twice.
package guard
