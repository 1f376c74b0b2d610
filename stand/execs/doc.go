// Package execs simulates executors: they answer requests with a given number of
// slots and count the requests that they run.
package execs
