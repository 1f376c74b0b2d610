// Package share decides which work of the accounts goes first when a pool is full.
package share
