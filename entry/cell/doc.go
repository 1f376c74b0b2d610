// Package cell runs the workflows of the users' platform in one entry: it answers
// callers, and where the entry holds a pool, gives orders to the pool's workers.
// The decisions are the machines of packages elect and flow; this package carries
// out what they ask for.
package cell
