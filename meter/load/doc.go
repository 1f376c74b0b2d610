// Package load generates open-loop load on entries: requests are sent when they
// are due, whether or not earlier ones have been answered, and the latency of
// each request is measured from its due time. So a stall shows in the latency
// of all requests that it delayed.
package load
