// Package launch starts the simulated services, workers and executors of a cell.
package launch
