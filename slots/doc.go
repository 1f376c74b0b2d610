// Package slots decides how many slots of each executor an entry may use, so
// that all entries together don't use more slots than an executor has.
//
// Owners assigns each executor to one entry, which lends slots to its peers.
// Shares gives each entry a fixed share. Estimates computes the free slots from
// the usage that the peers report. Each of them implements endive.Slots.
package slots
