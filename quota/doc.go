// Package quota divides the accounts' caps between the pools, whose holders decide
// independently of each other what to start.
package quota
