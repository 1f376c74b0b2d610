// Package proc contains the tests with real entry processes: kills, pauses, cut
// links, an unavailable table service and operators that apply tickets
// concurrently. The tests check the counts of the simulated services, not what
// endiveroute reports about itself.
package proc
