// Package peer sends messages between entries over TCP. Each yamux session has one stream
// of protobuf frames.
//
// An entry opens its own session to each peer and sends on that session only. It receives
// on the sessions that its peers open. If one direction goes silent, the sender of that
// direction notices and replaces its session, and two entries never race to open a shared
// one. Messages can be lost when a session breaks, but are never sent twice. The state
// machines that use this package repeat messages that have to arrive.
package peer
