// Package wire defines the protobuf messages that entries send to each other. "make
// generate" generates its code from peer.proto; the result is committed.
package wire
