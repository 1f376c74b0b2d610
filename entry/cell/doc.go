// Package cell runs workflows in one entry: it serves client requests and, for each
// pool that the entry holds, sends orders to the pool's workers. The state machines of
// packages elect and flow make the decisions; this package executes their actions.
package cell
