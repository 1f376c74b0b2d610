// Package cell describes the simulated platform services, workers and executors
// of one cell. A description is a TOML file.
package cell
