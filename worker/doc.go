// Package worker sends commands to workers over HTTP, with the protocol in
// docs/PLATFORM.md.
package worker
