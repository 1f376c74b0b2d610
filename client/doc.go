// Package client is the HTTP client for the interface of entries. The command-line tool,
// the load generator and the demo use it.
package client
